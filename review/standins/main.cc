#include "world.hh"
#include <iostream>

namespace review {
int endsAtATime(world &World);
int largeRecord(world &World);
int lostStop(world &World);
} // namespace review

/** Runs one case: `standins CASE RECORD DIRECTORY`, in the repository's root.
 */
int main(int Count, char **Words) {
  if (Count != 4)
    return 2;
  const std::string Case = Words[1];
  try {
    review::world World{Words[2], Words[3]};
    if (Case == "ends")
      return review::endsAtATime(World);
    if (Case == "record")
      return review::largeRecord(World);
    if (Case == "stop")
      return review::lostStop(World);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
  }
  return 2;
}
