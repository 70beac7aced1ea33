// The stand-in worker of requests that are passed through: it does what its script says, well or badly, and
// writes down all that it was asked (design.md 9.6, 13.3). How its words are spelt is told to it.
#pragma once

#include "runtime/await.h"

namespace stonemount {

enum class PassDeed : std::uint8_t {
  kWhole,          // a sealed answer, whole: events where it is asked for a stream
  kBig,            // the same, longer than a gateway may keep back
  kBodyForEvents,  // a sealed body where events were asked for
  kBigForEvents,
  kRefuse,       // says that it has not run it and will not
  kBareRefusal,  // the status alone, without that word: it ran
  kFail,         // a failure of its own
  kBigFail,      // a long one
  kDecline,      // can never be done
  kUnsealed,
  kForeign,       // the answer of another exchange
  kSilent,        // takes it, and nothing comes
  kSilentInside,  // begins, and then nothing comes
  kBreakBeforeHead,
  kBreakAfterHead,
  kBreakInside,   // in the middle of an event, or of the body
  kBreakBetween,  // after a whole event
  kEndInside,     // ends as if whole in the middle of an event
  kGap,           // leaves an event out
  kRepeat,        // gives an event twice
  kDeaf,          // does not go on where it was asked to, but begins
};

struct PassWords {  // names of headers, in lower case
  std::string exchange, life, lastEvent, seal, unrun, load;
};
struct PassWorkerPlan {
  std::string pool;
  std::string life;
  PassWords words;
  std::uint32_t slots = 0;   // beyond these it refuses; 0: no bound
  std::uint64_t events = 5;  // of each stream
  Us stepUs = 5 * kMilliUs;  // before each piece
  Us queueUs = 0;            // longest wait until it runs
  bool tellsLoad = false;
  std::uint64_t oddsGoesOn = 0;  // one run in so many goes on though its caller has gone; 0: never
  std::vector<std::pair<PassDeed, std::uint32_t>> deeds;  // by weight
};

struct PassAsk {
  Address worker;
  std::string pool;  // of the worker that was there
  HttpAsk ask;
  Us atUs = 0;  // by the worker's clock
  PassDeed deed = PassDeed::kWhole;
  std::optional<std::uint64_t> lastEvent;  // it was asked to go on after this one
  bool ran = false;
  bool otherLife = false;  // it was meant for another
  bool whole = false;      // its answer went out whole
  Us overUs = -1;          // its answer ended, or its caller was seen to have gone; -1: still at work
};
using PassLedger = std::deque<PassAsk>;  // a run's number is its place

// What run `number` puts out, so that a reader can tell runs apart.
Bytes passBody(std::size_t number, bool big);
Bytes passEvent(std::size_t number, std::uint64_t id);
std::string passSeal(std::size_t number);
// The number of the run that put this out; none: nobody did.
std::optional<std::size_t> passRunOf(std::string_view bytes);

class PassWorker {
 public:
  PassWorker(Ports& ports, Address self, PassWorkerPlan plan, PassLedger& ledger);
  ~PassWorker();
  void setDeeds(std::vector<std::pair<PassDeed, std::uint32_t>> deeds) { plan_.deeds = std::move(deeds); }

 private:
  struct Script;
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  PassDeed pickDeed();
  HeaderMap headersFor(const PassAsk& record, std::size_t number) const;
  Script scriptFor(const PassAsk& record, std::size_t number) const;
  void addEvents(Script& script, const PassAsk& record, std::size_t number) const;
  Task work(std::size_t number, ReplyPtr reply);
  Ports& ports_;
  Address self_;
  PassWorkerPlan plan_;
  PassLedger& ledger_;
  TaskRoom room_;
  sigc::connection asked_;
  std::uint32_t load_ = 0;
};

}  // namespace stonemount
