#ifndef GALENALINK_HTTP_DETAIL_MEMORY_USE_HPP
#define GALENALINK_HTTP_DETAIL_MEMORY_USE_HPP

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace galenalink::http::detail {

/** @brief Memory of one kind of holder, bytes. */
struct memory_amount {
  /** Up to the initial limit of each request, header lines, and replies that
   * are not written yet. */
  std::size_t Buffered{0};
  /** Parts of large requests beyond the initial limit. */
  std::size_t Large{0};
};

/** @brief Memory that the connections and exchanges of a server hold. */
struct memory_use {
  memory_amount Connections;
  memory_amount Exchanges;
  /** Called when an exchange has released its part of a large request. */
  std::function<void()> Released;

  [[nodiscard]] std::size_t buffered() const noexcept {
    return Connections.Buffered + Exchanges.Buffered;
  }
  [[nodiscard]] std::size_t large() const noexcept {
    return Connections.Large + Exchanges.Large;
  }
};

/** @brief Adds an amount to the memory that exchanges hold, until destroyed. */
class exchange_charge {
public:
  exchange_charge() = default;
  exchange_charge(std::shared_ptr<memory_use> Use, const memory_amount Amount)
      : Use{std::move(Use)}, Amount{Amount} {
    this->Use->Exchanges.Buffered += Amount.Buffered;
    this->Use->Exchanges.Large += Amount.Large;
  }
  ~exchange_charge() { release(); }
  exchange_charge(const exchange_charge &) = delete;
  exchange_charge &operator=(const exchange_charge &) = delete;
  exchange_charge(exchange_charge &&Other) noexcept
      : Use{std::move(Other.Use)}, Amount{Other.Amount} {}
  exchange_charge &operator=(exchange_charge &&Other) noexcept {
    if (this != &Other) {
      release();
      Use = std::move(Other.Use);
      Amount = Other.Amount;
    }
    return *this;
  }

private:
  void release() {
    if (!Use)
      return;
    Use->Exchanges.Buffered -= Amount.Buffered;
    Use->Exchanges.Large -= Amount.Large;
    if (Amount.Large > 0 && Use->Released)
      Use->Released();
    Use.reset();
  }

  std::shared_ptr<memory_use> Use;
  memory_amount Amount;
};

/** @brief Memory of the request that a connection receives, and how much of it
 * may be read. */
class receive_account {
public:
  /** Memory of a header line beside its bytes, in evhttp and in the request. */
  static constexpr std::size_t HeaderLineBytes = 256;
  /** evhttp takes each line from the input in two steps. */
  static constexpr std::size_t StepsPerLine = 2;

  receive_account(const std::size_t InitialLimit, const std::size_t MaxLimit,
                  const std::size_t MaxHeaderLines)
      : InitialLimit{InitialLimit}, MaxLimit{MaxLimit},
        MaxSteps{MaxHeaderLines * StepsPerLine}, Limit{InitialLimit} {}

  void add(const std::size_t Bytes) noexcept {
    Received = std::min(Received + Bytes, MaxLimit);
  }
  /** @brief Counts that evhttp has taken a part of the input. */
  void addStep() noexcept { Steps = std::min(Steps + 1, MaxSteps); }
  /** @brief Starts with the next request, of which bytes were read already. */
  void startRequest(const std::size_t BytesRead) noexcept {
    Received = std::min(BytesRead, MaxLimit);
    Steps = 0;
    Limit = InitialLimit;
  }

  /** @return Bytes of the request so far, up to the largest request. */
  [[nodiscard]] std::size_t received() const noexcept { return Received; }
  /** @return Bytes that may be in the input buffer. */
  [[nodiscard]] std::size_t limit() const noexcept { return Limit; }
  /** @return Whether all bytes up to the limit were read. */
  [[nodiscard]] bool full() const noexcept { return Received >= Limit; }
  /** @return Whether the request may need a higher limit. */
  [[nodiscard]] bool atLimit() const noexcept {
    return full() && Limit < MaxLimit;
  }
  [[nodiscard]] std::size_t nextLimit() const noexcept {
    return std::min(Limit * 2, MaxLimit);
  }
  void raiseLimit() noexcept { Limit = nextLimit(); }

  [[nodiscard]] memory_amount amount() const noexcept {
    const std::size_t Large = Limit - InitialLimit;
    return {Received - std::min(Received, Large) +
                Steps * (HeaderLineBytes / StepsPerLine),
            Large};
  }

private:
  std::size_t InitialLimit;
  std::size_t MaxLimit;
  std::size_t MaxSteps;
  std::size_t Limit;
  std::size_t Received{0};
  std::size_t Steps{0};
};

} // namespace galenalink::http::detail

#endif
