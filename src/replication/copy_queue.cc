#include "replication/copy_queue.h"

namespace stonemount {

bool CopyQueue::admits(const Address& peer, bool seated, Us nowUs) {
  expire(nowUs);
  if (copier_ == peer) {
    usedUs_ = nowUs;
    leastLackingBytes_.reset();
    return true;
  }
  if (seated && !copierSeated_) copier_ = Address();  // it goes on later where it was
  Waiting& waiting = waiting_.try_emplace(peer, Waiting{seated, nowUs, nowUs}).first->second;
  waiting.seated = seated;
  waiting.askedUs = nowUs;
  if (copier_.set() || !first(peer)) return false;
  waiting_.erase(peer);
  copier_ = peer;
  copierSeated_ = seated;
  usedUs_ = nowUs;
  leastLackingBytes_.reset();
  return true;
}

void CopyQueue::follows(const Address& peer, std::size_t lackingBytes, Us nowUs) {
  if (copier_ != peer) return;
  usedUs_ = nowUs;
  if (leastLackingBytes_ && *leastLackingBytes_ <= lackingBytes) return;
  leastLackingBytes_ = lackingBytes;
  nearerUs_ = nowUs;
}

void CopyQueue::joined(const Address& peer) {
  if (copier_ == peer) copier_ = Address();
}

void CopyQueue::expire(Us nowUs) {
  const bool idle = nowUs - usedUs_ > kIdleUs;
  const bool noNearer = leastLackingBytes_ && nowUs - nearerUs_ > kNoNearerUs;
  if (idle || noNearer) copier_ = Address();
  absl::erase_if(waiting_, [nowUs](const auto& entry) { return nowUs - entry.second.askedUs > kWaitingUs; });
}

bool CopyQueue::first(const Address& peer) const {
  const Waiting& mine = waiting_.at(peer);
  for (const auto& [other, waiting] : waiting_) {
    if (waiting.seated != mine.seated ? waiting.seated : waiting.sinceUs < mine.sinceUs) return false;
  }
  return true;
}

}  // namespace stonemount
