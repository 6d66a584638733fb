// Simulates processes that share nothing while hosts start, and counts what they send these hosts together.
#pragma once

#include <algorithm>
#include <cmath>
#include <random>

#include "policy/router_rig.h"
#include "policy/slow_start_scenarios.h"

namespace lotusyard::policy::test {

class SlowStartDay {
 public:
  SlowStartDay(Disturbance disturbance, int processes, double window, double multiple, std::uint64_t seed)
      : disturbance_(disturbance),
        processes_(processes),
        window_(window),
        multiple_(multiple),
        random_(seed),
        hosts_(kHosts) {
    if (disturbance == Disturbance::small_host)
      hosts_[0].cores = 1;
    starting_ = starts_many(disturbance) ? 5 : 1;
    for (int h = 0; h < kHosts; ++h) {
      for (std::uint64_t f = 1; f <= kFunctions; ++f)
        copies_[name_of(h)].insert(f);
    }
  }

  Worst play() {
    const int third = std::max(1, processes_ / 3);
    const bool more = disturbance_ == Disturbance::more_processes;
    live_ = more ? third : processes_;
    for (int i = 0; i < processes_; ++i) {
      all_.push_back(new_process(i, live_));
      notified_.push_back(false);
      if (i < live_)
        all_.back().list(entries(0));
    }
    for (now_ = 0; now_ < kEnd; now_ += kStep)
      step();
    for (int h = 0; h < starting_; ++h)
      judge(hosts_[static_cast<std::size_t>(h)]);
    return worst_;
  }

 private:
  struct PendingAnswer {
    std::size_t process;
    int incarnation;
    action::Send send;
    Outcome outcome;
    double began;
  };
  struct PendingLoad {
    std::size_t process;
    int incarnation;
    action::Load order;
  };

  static std::string name_of(int h) { return "h" + std::to_string(h); }
  double uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
  bool at(double moment) const { return now_ >= moment && now_ < moment + kStep; }
  StartingHost& host(const std::string& name) { return hosts_[static_cast<std::size_t>(name[1] - '0')]; }

  Router new_process(int rank, int processes) {
    Settings s = settings();
    s.routers = processes;
    s.rank = rank;
    s.host_protocol.answers_misses = true;
    s.slow_start.factor = multiple_;
    s.slow_start.window = Millis(window_);
    s.slow_start.initial = kColdFrom;
    s.slow_start.duration = Millis(kColdFor);
    s.load_orders.floor = 6;
    s.load_orders.ratio = 0.2;
    s.load_orders.window = Millis(10000);
    s.seed = random_();
    settings_ = s;
    Router process(s);
    process.now = Millis(now_);
    return process;
  }
  // The whole list, with the starts that it tells of when it is made at this moment.
  std::vector<HostEntry> entries(double made_at) {
    std::vector<HostEntry> list;
    for (int h = 0; h < kHosts; ++h) {
      const StartingHost& host = hosts_[static_cast<std::size_t>(h)];
      const bool told = h < starting_ && host.started <= made_at;
      list.push_back(entry(name_of(h), HostState::ready, told ? host.started : 0));
      list.back().weight = host.cores;
    }
    return list;
  }
  std::vector<HostEntry> starting_entries() {
    auto list = entries(now_);
    list.resize(static_cast<std::size_t>(starting_));
    return list;
  }
  void notify(ListKind kind) {
    for (std::size_t i = 0; i < all_.size(); ++i) {
      notified_[i] = true;
      all_[i].list(kind == ListKind::delta ? starting_entries() : entries(now_), kind);
    }
  }
  void start_hosts() {
    for (int h = 0; h < starting_; ++h) {
      StartingHost& host = hosts_[static_cast<std::size_t>(h)];
      if (now_ > kStart + kStep)
        judge(host);  // the second start: a new window
      host.started = now_;
      host.sent.clear();
      copies_[name_of(h)].clear();
    }
    notify(ListKind::delta);
  }
  void restart_processes(double list_made_at) {
    for (std::size_t i = 0; i < all_.size(); ++i) {
      all_[i] = new_process(static_cast<int>(i), live_);
      notified_[i] = list_made_at >= kStart;
      all_[i].list(entries(list_made_at));
    }
    ++incarnation_;
  }
  void change_processes(int count) {
    for (std::size_t i = 0; i < all_.size(); ++i) {
      Settings s = settings_;
      s.rank = static_cast<int>(i);
      s.routers = count;
      all_[i].give(event::SettingsChanged{s});
      if (static_cast<int>(i) >= live_)
        all_[i].list(entries(now_));
    }
    live_ = std::max(live_, count);
  }
  void disturb() {
    if (at(kStart) || (disturbance_ == Disturbance::second_start && at(kStart + window_ / 2)))
      start_hosts();
    const int third = std::max(1, processes_ / 3);
    switch (disturbance_) {
      case Disturbance::process_restart:
        if (at(kStart + 600))
          restart_processes(now_);
        break;
      case Disturbance::late_notice:
        if (at(kStart + 600))
          restart_processes(0);
        if (at(kStart + 900))
          notify(ListKind::delta);
        break;
      case Disturbance::more_processes:
        if (at(kStart + 400))
          change_processes(processes_);
        break;
      case Disturbance::fewer_processes:
        if (at(kStart + 400))
          change_processes(third);
        if (at(kStart + 700))
          live_ = third;
        break;
      case Disturbance::full_lists:
        if (now_ >= kStart && std::fmod(now_, 250) < kStep)
          notify(ListKind::full);
        break;
      case Disturbance::stale_list:
        for (std::size_t i = 0; at(kStart + 500) && i < all_.size(); ++i)
          all_[i].list(entries(0), ListKind::cached);
        if (at(kStart + 800))
          notify(ListKind::full);
        break;
      default:
        break;
    }
  }
  void request_calls() {
    const bool quiet = disturbance_ == Disturbance::quiet_time && now_ > kStart - 500 && now_ < kStart + 2500;
    const double load = disturbance_ == Disturbance::overload && now_ >= kStart ? 6.4 : 1.6;
    const double pace = load * 5 * 4 / kMeanWork;  // of all processes, for each millisecond
    for (; next_ <= now_; next_ += -std::log(1 - uniform()) / pace) {
      if (quiet)
        continue;
      Router& process = all_[random_() % static_cast<std::size_t>(live_)];
      const std::uint64_t f = 1 + static_cast<std::uint64_t>(kFunctions * uniform() * uniform());
      const std::string id = std::to_string(++ids_);
      functions_[id] = f;
      process.request(id, f, f % 3 == 0 ? "unsafe" : "safe", 2000, 4);
    }
  }
  void answer_calls() {
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      const PendingAnswer a = answers_.begin()->second;
      answers_.erase(answers_.begin());
      --held_[a.send.host];
      if (a.incarnation == incarnation_)
        all_[a.process].answer(a.send, a.outcome, now_ - a.began, Warmth::unknown);
    }
    while (!loads_.empty() && loads_.begin()->first <= now_) {
      const PendingLoad l = loads_.begin()->second;
      loads_.erase(loads_.begin());
      copies_[l.order.host].insert(l.order.function);
      if (l.incarnation == incarnation_)
        all_[l.process].loaded(l.order.host, l.order.function, 1);
    }
  }
  void take_sends() {
    for (std::size_t i = 0; i < all_.size(); ++i) {
      for (const auto& send : std::exchange(all_[i].sends, {})) {
        StartingHost& to = host(send.host);
        if (now_ >= kStart && notified_[i])
          to.sent.push_back(now_);
        const bool stands = copies_[send.host].count(functions_[send.id]) != 0;
        const int beside = ++held_[send.host];
        const double took = stands ? kMeanWork * std::max(1.0, beside / to.cores) * (0.5 + uniform()) : 1;
        answers_.emplace(now_ + took, PendingAnswer{i, incarnation_, send,
                                                    stands ? Outcome::ok : Outcome::no_instance, now_});
      }
      for (const auto& order : std::exchange(all_[i].loads, {}))
        loads_.emplace(now_ + 500, PendingLoad{i, incarnation_, order});
    }
  }
  void step() {
    for (auto& process : all_)
      process.pass(now_ - process.now.count());
    disturb();
    request_calls();
    answer_calls();
    take_sends();
  }
  void judge(const StartingHost& host) {
    const auto& sent = host.sent;
    worst_.total += static_cast<int>(sent.size());
    for (std::size_t i = 0, first = 0; i < sent.size(); ++i) {
      while (sent[first] <= sent[i] - window_)
        ++first;
      // By what it may get when the window begins: the least of it.
      const double age = std::max(0.0, sent[i] - window_ - host.started) / kColdFor;
      const double share = kColdFrom + (1 - kColdFrom) * std::min(1.0, age);
      const double n = multiple_ * share * host.cores * window_ / kMeanWork;
      const double allowed = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
      const int calls = static_cast<int>(i - first + 1);
      if (calls / allowed <= worst_.part())
        continue;
      worst_.calls = calls;
      worst_.allowed = allowed;
    }
  }

  const Disturbance disturbance_;
  const int processes_;
  const double window_, multiple_;
  std::mt19937_64 random_;
  std::vector<StartingHost> hosts_;
  int starting_ = 1, live_ = 0, incarnation_ = 0, ids_ = 0;
  double now_ = 0, next_ = 0;
  Settings settings_;
  std::vector<Router> all_;
  std::vector<bool> notified_;
  std::multimap<double, PendingAnswer> answers_;
  std::multimap<double, PendingLoad> loads_;
  std::map<std::string, std::set<std::uint64_t>> copies_;
  std::map<std::string, int> held_;
  std::map<std::string, std::uint64_t> functions_;
  Worst worst_;
};

}  // namespace lotusyard::policy::test
