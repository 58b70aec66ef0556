#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "sapphirebank/consensus/control_host.h"
#include "sapphirebank/consensus/posix_file_system.h"

// A consensus group of three control hosts in one process, each with its own
// thread and data folder.
namespace sapphirebank {

using Clock = std::chrono::steady_clock;

inline constexpr std::size_t kHosts = 3;
inline constexpr Duration kTickInterval = std::chrono::milliseconds(20);

inline Instant Now() {
  return Instant(
      std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch()));
}

inline WallTime WallClockNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

inline double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

// Prints `error` and exits with a failure status.
[[noreturn]] inline void ExitWithError(const Error& error) {
  std::fprintf(stderr, "consensus_bench: %s\n", error.detail.c_str());
  std::exit(EXIT_FAILURE);
}

// Returns the value of `result`, or exits with its error.
template <typename T>
T ValueOrExit(Result<T> result) {
  if (!result) ExitWithError(result.error());
  return std::move(*result);
}

inline HostId ControlHostId(std::size_t host) {
  return HostId("control-" + std::to_string(host));
}

inline ControlHostSettings MakeSettings(std::size_t host, std::size_t hosts) {
  ControlHostSettings settings;
  settings.host = ControlHostId(host);
  for (std::size_t i = 0; i < hosts; ++i) {
    settings.control_hosts.push_back(ControlHostId(i));
  }
  settings.max_claims = 10'000'000;
  settings.max_total_answer_bytes = 1UL << 32U;
  return settings;
}

// Input of a host thread: a message from the peer `from`, or a command that is
// proposed with the token `token`.
struct HostInput {
  std::optional<PeerMessage> message;
  HostId from;
  std::optional<ControlCommand> command;
  RequestToken token = 0;
};

class ThreadedGroup;

// A control host and the thread that runs it. With `batching` all queued inputs
// share one flush; without it every input is flushed on its own.
class HostThread {
 public:
  HostThread(ThreadedGroup& group, std::size_t index, const std::string& folder,
             std::uint64_t seed, bool batching);
  ~HostThread() { Stop(); }
  HostThread(const HostThread&) = delete;
  HostThread& operator=(const HostThread&) = delete;

  // Queues an input for the thread.
  void Enqueue(HostInput input) {
    {
      const std::lock_guard lock(mutex_);
      inputs_.push_back(std::move(input));
    }
    wake_up_.notify_one();
  }

  // Stops the thread and waits for its end.
  void Stop() {
    stopping_ = true;
    wake_up_.notify_one();
    if (thread_.joinable()) thread_.join();
  }

  // Returns whether the host was the leader after its last flush.
  bool is_leader() const { return is_leader_; }

 private:
  void Run();
  void ProcessInput(HostInput input);
  // Makes pending changes durable and delivers the messages and completions.
  void Flush();

  ThreadedGroup& group_;
  std::size_t index_;
  bool batching_;
  std::unique_ptr<PosixFileSystem> files_;
  ControlHost host_;
  std::mutex mutex_;
  std::condition_variable wake_up_;
  std::vector<HostInput> inputs_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> is_leader_ = false;
  std::thread thread_;
};

// A group of three hosts, and one client that keeps a number of commands
// outstanding.
class ThreadedGroup {
 public:
  ThreadedGroup(const std::string& folder, std::uint64_t seed, bool batching) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<HostThread>(
          *this, i, folder + "/" + std::to_string(i), seed + i, batching));
    }
    started_ = true;
  }

  ~ThreadedGroup() {
    for (auto& host : hosts_) host->Stop();
  }
  ThreadedGroup(const ThreadedGroup&) = delete;
  ThreadedGroup& operator=(const ThreadedGroup&) = delete;

  // Waits until a host is the leader and returns it.
  HostThread& AwaitLeader() {
    while (true) {
      for (auto& host : hosts_) {
        if (host->is_leader()) return *host;
      }
      std::this_thread::sleep_for(kTickInterval);
    }
  }

  // Encodes the messages of host `from`, as on the network, and queues them at
  // their receivers. Messages sent before all hosts exist are dropped.
  void Deliver(std::size_t from, const std::vector<PeerEnvelope>& envelopes) {
    for (const PeerEnvelope& envelope : envelopes) {
      const std::string bytes = EncodePeerMessage(envelope.message);
      bytes_sent_ += bytes.size();
      const auto to =
          static_cast<std::size_t>(envelope.host.value().back() - '0');
      if (!started_) continue;
      hosts_[to]->Enqueue(
          {ValueOrExit(DecodePeerMessage(bytes)), ControlHostId(from), {}, 0});
    }
  }

  // Counts the completed commands and wakes up the client.
  void RecordCompletions(const std::vector<Completion>& completions) {
    if (completions.empty()) return;
    const std::lock_guard lock(mutex_);
    for (const Completion& completion : completions) {
      if (completion.result) {
        ++accepted_;
      } else {
        ++refused_;
      }
    }
    completed_.notify_one();
  }

  // Sends the commands `make_command(i)` for i = 0, 1, ... to the leader for
  // `seconds`, with up to `max_outstanding` of them outstanding. Waits for the
  // results of all and returns the number of accepted commands.
  template <typename MakeCommand>
  std::uint64_t RunLoad(std::size_t max_outstanding, double seconds,
                        MakeCommand make_command) {
    HostThread& leader = AwaitLeader();
    const auto start = Clock::now();
    std::uint64_t sent = 0;
    std::unique_lock lock(mutex_);
    accepted_ = 0;
    refused_ = 0;
    while (SecondsSince(start) < seconds) {
      while (sent - accepted_ - refused_ < max_outstanding) {
        const std::uint64_t command_number = sent++;
        lock.unlock();
        leader.Enqueue(
            {{}, {}, make_command(command_number), command_number + 1});
        lock.lock();
      }
      completed_.wait_for(lock, kTickInterval);
    }
    completed_.wait(lock, [&] { return accepted_ + refused_ == sent; });
    return accepted_;
  }

  std::uint64_t refused() const { return refused_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  std::atomic<bool> started_ = false;
  std::atomic<std::uint64_t> bytes_sent_ = 0;
  std::mutex mutex_;
  std::condition_variable completed_;
  std::uint64_t accepted_ = 0;
  std::uint64_t refused_ = 0;
  std::vector<std::unique_ptr<HostThread>> hosts_;
};

inline HostThread::HostThread(ThreadedGroup& group, std::size_t index,
                              const std::string& folder, std::uint64_t seed,
                              bool batching)
    : group_(group),
      index_(index),
      batching_(batching),
      files_(ValueOrExit(PosixFileSystem::Open(folder))),
      host_(ValueOrExit(ControlHost::Create(MakeSettings(index, kHosts),
                                            *files_, Now(), seed))),
      thread_([this] { Run(); }) {}

inline void HostThread::Run() {
  while (!stopping_) {
    std::vector<HostInput> inputs;
    {
      std::unique_lock lock(mutex_);
      wake_up_.wait_for(lock, kTickInterval,
                        [&] { return stopping_ || !inputs_.empty(); });
      inputs.swap(inputs_);
    }
    for (HostInput& input : inputs) {
      ProcessInput(std::move(input));
      if (!batching_) Flush();
    }
    host_.Tick(Now(), WallClockNow());
    Flush();
  }
}

inline void HostThread::ProcessInput(HostInput input) {
  if (input.message) {
    host_.Receive(Now(), input.from, *input.message);
  } else {
    host_.Propose(Now(), *input.command, input.token);
  }
}

inline void HostThread::Flush() {
  group_.Deliver(index_, host_.TakeEarlyMessages(Now()));
  const ControlEffects effects = host_.Flush(Now());
  if (effects.failure) ExitWithError(*effects.failure);
  group_.Deliver(index_, effects.messages);
  group_.RecordCompletions(effects.completions);
  is_leader_ = host_.IsLeader();
}

}  // namespace sapphirebank
