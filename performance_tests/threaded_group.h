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

// Three control hosts in one process, each with a thread and a folder.
namespace sapphirebank {

using Clock = std::chrono::steady_clock;

inline constexpr std::size_t kHosts = 3;
inline constexpr Duration kTickInterval = std::chrono::milliseconds(20);

inline Instant Now() {
  return Instant(
      std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch()));
}

inline WallTime WallNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

inline double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

[[noreturn]] inline void Die(const Error& error) {
  std::fprintf(stderr, "consensus_bench: %s\n", error.detail.c_str());
  std::exit(EXIT_FAILURE);
}

template <typename T>
T OrDie(Result<T> result) {
  if (!result) Die(result.error());
  return std::move(*result);
}

inline HostId NameOf(std::size_t host) {
  return HostId("control-" + std::to_string(host));
}

inline ControlHostSettings SettingsOf(std::size_t host, std::size_t hosts) {
  ControlHostSettings settings;
  settings.host = NameOf(host);
  for (std::size_t i = 0; i < hosts; ++i) {
    settings.control_hosts.push_back(NameOf(i));
  }
  settings.max_claims = 10'000'000;
  settings.max_total_answer_bytes = 1UL << 32U;
  return settings;
}

// What goes into the thread of a host.
struct Input {
  std::optional<PeerMessage> message;
  HostId from;
  std::optional<ControlCommand> command;
  RequestToken token = 0;
};

class ThreadedGroup;

// One control host with its thread.
class HostThread {
 public:
  HostThread(ThreadedGroup& group, std::size_t index, const std::string& folder,
             std::uint64_t seed, bool batching);
  ~HostThread() { Stop(); }
  HostThread(const HostThread&) = delete;
  HostThread& operator=(const HostThread&) = delete;

  void Put(Input input) {
    {
      const std::lock_guard lock(mutex_);
      inputs_.push_back(std::move(input));
    }
    wake_.notify_one();
  }

  void Stop() {
    stopping_ = true;
    wake_.notify_one();
    if (thread_.joinable()) thread_.join();
  }

  bool leads() const { return leads_; }

 private:
  void Run();
  void Take(Input input);
  void Flush();

  ThreadedGroup& group_;
  std::size_t index_;
  bool batching_;
  std::unique_ptr<PosixFileSystem> files_;
  ControlHost host_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Input> inputs_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> leads_ = false;
  std::thread thread_;
};

// Three hosts and the one caller, which keeps a number of commands open.
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

  HostThread& AwaitLeader() {
    while (true) {
      for (auto& host : hosts_) {
        if (host->leads()) return *host;
      }
      std::this_thread::sleep_for(kTickInterval);
    }
  }

  void Deliver(std::size_t from, const std::vector<PeerEnvelope>& envelopes) {
    for (const PeerEnvelope& envelope : envelopes) {
      const std::string bytes = EncodePeerMessage(envelope.message);
      bytes_sent_ += bytes.size();
      const auto to =
          static_cast<std::size_t>(envelope.host.value().back() - '0');
      if (!started_) continue;
      hosts_[to]->Put({OrDie(DecodePeerMessage(bytes)), NameOf(from), {}, 0});
    }
  }

  void Complete(const std::vector<Completion>& completions) {
    if (completions.empty()) return;
    const std::lock_guard lock(mutex_);
    for (const Completion& completion : completions) {
      if (completion.result) {
        ++accepted_;
      } else {
        ++refused_;
      }
    }
    done_.notify_one();
  }

  // Sends `make(i)` for i from 0 on, `open` at a time, for `seconds`. Returns
  // how many were accepted.
  template <typename Make>
  std::uint64_t Load(std::size_t open, double seconds, Make make) {
    HostThread& leader = AwaitLeader();
    const auto start = Clock::now();
    std::uint64_t sent = 0;
    std::unique_lock lock(mutex_);
    accepted_ = 0;
    refused_ = 0;
    while (SecondsSince(start) < seconds) {
      while (sent - accepted_ - refused_ < open) {
        const std::uint64_t number = sent++;
        lock.unlock();
        leader.Put({{}, {}, make(number), number + 1});
        lock.lock();
      }
      done_.wait_for(lock, kTickInterval);
    }
    done_.wait(lock, [&] { return accepted_ + refused_ == sent; });
    return accepted_;
  }

  std::uint64_t refused() const { return refused_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  std::atomic<bool> started_ = false;
  std::atomic<std::uint64_t> bytes_sent_ = 0;
  std::mutex mutex_;
  std::condition_variable done_;
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
      files_(OrDie(PosixFileSystem::Open(folder))),
      host_(OrDie(ControlHost::Create(SettingsOf(index, kHosts), *files_, Now(),
                                      seed))),
      thread_([this] { Run(); }) {}

inline void HostThread::Run() {
  while (!stopping_) {
    std::vector<Input> inputs;
    {
      std::unique_lock lock(mutex_);
      wake_.wait_for(lock, kTickInterval,
                     [&] { return stopping_ || !inputs_.empty(); });
      inputs.swap(inputs_);
    }
    for (Input& input : inputs) {
      Take(std::move(input));
      if (!batching_) Flush();
    }
    host_.Tick(Now(), WallNow());
    Flush();
  }
}

inline void HostThread::Take(Input input) {
  if (input.message) {
    host_.Receive(Now(), input.from, *input.message);
  } else {
    host_.Propose(Now(), *input.command, input.token);
  }
}

inline void HostThread::Flush() {
  group_.Deliver(index_, host_.TakeEarlyMessages(Now()));
  const ControlEffects effects = host_.Flush(Now());
  if (effects.failure) Die(*effects.failure);
  group_.Deliver(index_, effects.messages);
  group_.Complete(effects.completions);
  leads_ = host_.IsLeader();
}

}  // namespace sapphirebank
