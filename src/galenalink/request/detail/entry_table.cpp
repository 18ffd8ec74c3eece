#include "galenalink/request/detail/entry_table.hpp"
#include "galenalink/core/assert.hpp"

namespace galenalink::request::detail {

namespace {

[[nodiscard]] std::size_t keyBytes(const request_key &Key) noexcept {
  return Key.Customer.size() + Key.Service.size() + Key.Key.size();
}

} // namespace

entry *entry_table::find(const request_key &Key) noexcept {
  const auto Found = ByKey.find(&Key);
  return Found == ByKey.end() ? nullptr : &Slots[Found->second];
}

const entry *entry_table::find(const request_key &Key) const noexcept {
  const auto Found = ByKey.find(&Key);
  return Found == ByKey.end() ? nullptr : &Slots[Found->second];
}

entry *entry_table::find(const entry_handle Handle) noexcept {
  if (Handle.Index >= Slots.size())
    return nullptr;
  entry &Entry = Slots[Handle.Index];
  return Entry.Used && Entry.Generation == Handle.Generation ? &Entry : nullptr;
}

entry *entry_table::find(const attempt_id Attempt) noexcept {
  const auto Found = ByAttempt.find(Attempt);
  return Found == ByAttempt.end() ? nullptr : &Slots[Found->second];
}

entry &entry_table::create(request_key Key) {
  if (Free.empty()) {
    Free.push_back(static_cast<std::uint32_t>(Slots.size()));
    Slots.emplace_back().Index = Free.back();
  }
  entry &Entry = Slots[Free.back()];
  Free.pop_back();
  Entry.Key = std::move(Key);
  Entry.Used = true;
  const bool Added = ByKey.try_emplace(&Entry.Key, Entry.Index).second;
  GALENALINK_ASSERT(Added, "a key is in the table once");
  Bytes += keyBytes(Entry.Key);
  return Entry;
}

void entry_table::erase(entry &Entry) {
  unbindAttempt(Entry);
  remove(ExpiryOrder, &entry::Expiry, Entry);
  remove(StepOrder, &entry::Step, Entry);
  ByKey.erase(&Entry.Key);
  Bytes -= keyBytes(Entry.Key) + Entry.Payload.size();
  const auto Index = Entry.Index;
  const auto Generation = Entry.Generation + 1;
  Entry = entry{};
  Entry.Index = Index;
  Entry.Generation = Generation;
  Free.push_back(Index);
}

void entry_table::bindAttempt(entry &Entry, const attempt_id Attempt) {
  unbindAttempt(Entry);
  Entry.Attempt = Attempt;
  Entry.AttemptKnown = ByAttempt.try_emplace(Attempt, Entry.Index).second;
  GALENALINK_ASSERT(Entry.AttemptKnown, "an attempt id is used once");
}

void entry_table::unbindAttempt(entry &Entry) {
  if (Entry.AttemptKnown)
    ByAttempt.erase(Entry.Attempt);
  Entry.AttemptKnown = false;
}

void entry_table::setPayload(entry &Entry, shared_text Payload) {
  Bytes -= Entry.Payload.size();
  // Assigning a short result would keep the memory of the long body.
  std::swap(Entry.Payload, Payload);
  Bytes += Entry.Payload.size();
}

void entry_table::scheduleExpiry(entry &Entry, const time_point At) {
  remove(ExpiryOrder, &entry::Expiry, Entry);
  Entry.ExpiresAt = At;
  append(ExpiryOrder, &entry::Expiry, Entry);
}

void entry_table::scheduleStep(entry &Entry, const time_point At) {
  remove(StepOrder, &entry::Step, Entry);
  Entry.StepDeadline = At;
  append(StepOrder, &entry::Step, Entry);
}

void entry_table::endStep(entry &Entry) {
  remove(StepOrder, &entry::Step, Entry);
}

entry *entry_table::firstExpiry() noexcept {
  return ExpiryOrder.First == NoIndex ? nullptr : &Slots[ExpiryOrder.First];
}

entry *entry_table::firstStep() noexcept {
  return StepOrder.First == NoIndex ? nullptr : &Slots[StepOrder.First];
}

entry *entry_table::nextStep(const entry &Entry) noexcept {
  return Entry.Step.Next == NoIndex ? nullptr : &Slots[Entry.Step.Next];
}

entry *entry_table::at(const std::size_t Slot) noexcept {
  return Slots[Slot].Used ? &Slots[Slot] : nullptr;
}

const entry *entry_table::at(const std::size_t Slot) const noexcept {
  return Slots[Slot].Used ? &Slots[Slot] : nullptr;
}

void entry_table::append(list &List, list_link entry::*const Link,
                         entry &Entry) {
  Entry.*Link = {List.Last, NoIndex, true};
  if (List.Last == NoIndex)
    List.First = Entry.Index;
  else
    (Slots[List.Last].*Link).Next = Entry.Index;
  List.Last = Entry.Index;
}

void entry_table::remove(list &List, list_link entry::*const Link,
                         entry &Entry) {
  list_link &Own = Entry.*Link;
  if (!Own.Linked)
    return;
  if (Own.Previous == NoIndex)
    List.First = Own.Next;
  else
    (Slots[Own.Previous].*Link).Next = Own.Next;
  if (Own.Next == NoIndex)
    List.Last = Own.Previous;
  else
    (Slots[Own.Next].*Link).Previous = Own.Previous;
  Own = {};
}

} // namespace galenalink::request::detail
