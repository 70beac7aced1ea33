// Short frames between two processes do not wait behind long ones that were handed over before them (design.md 3.2):
// signs of life and votes come through while a burst of lots fills the way.
#include <unistd.h>

#include "adapters/tcp_transport.h"
#include "expect.h"

using namespace stonemount;

namespace {
constexpr std::size_t kBulkFrames = 56;
constexpr std::size_t kBulkBytes = 256 << 10;  // of each: 14 MiB in all, more than the kernel takes at once
constexpr std::uint32_t kLoopback = 127u << 24 | 1;
constexpr Us kLimitUs = 20 * kSecondUs;

class Receiver : public Continuation, public sigc::trackable {
 public:
  Receiver(Loop& loop, Wire& wire) : loop_(loop) {
    wire.heard.connect(sigc::mem_fun(*this, &Receiver::onFrame));
    loop.arm(kLimitUs, *this);
  }
  void proceed() override { loop_.stop(); }  // the limit
  void onFrame(const Address& peer, const Bytes& frame) {
    const bool isShort = frame.size() <= TcpTransport::kLongestShort;
    if (isShort)
      bulkBeforeShort = bulk;
    else
      ++bulk;
    shorts += isShort ? 1 : 0;
    from = peer;
    if (shorts == 1 && bulk == kBulkFrames) loop_.stop();
  }
  std::size_t bulk = 0, shorts = 0, bulkBeforeShort = 0;
  Address from;

 private:
  Loop& loop_;
};

// A port that is free: other tests run beside this one.
std::unique_ptr<TcpTransport> listening(Loop& loop, std::uint16_t& port) {
  for (int tries = 0; tries < 200; ++tries) {
    auto transport = std::make_unique<TcpTransport>(loop, Address{kLoopback, ++port});
    if (transport->listen()) return transport;
  }
  return nullptr;
}
}  // namespace

int main() {
  Loop loop;
  auto port = static_cast<std::uint16_t>(20000 + getpid() % 12000);
  std::unique_ptr<TcpTransport> sender = listening(loop, port);
  std::unique_ptr<TcpTransport> receiver = listening(loop, port);
  expect(sender != nullptr && receiver != nullptr, "two transports listen");
  if (failed > 0) return expectationsVerdict();
  Receiver received(loop, *receiver);
  for (std::size_t i = 0; i < kBulkFrames; ++i) sender->post(receiver->self(), Bytes(kBulkBytes, 'b'));
  sender->post(receiver->self(), Bytes("short"));
  loop.run();
  loop.disarm(received);
  expect(received.bulk == kBulkFrames, "every long frame comes");
  expect(received.shorts == 1, "the short frame comes, once");
  expect(received.bulkBeforeShort < kBulkFrames, "the short frame comes before the last of the long ones");
  expect(received.from == sender->self(), "from whom it is, is known on either lane");
  return expectationsVerdict();
}
