// The decisions of robinfold. The interface is include/robinfold/policy.h.
// docs/design.md names each departure from ESFF.
#include "robinfold/policy.h"

#include "average.h"
#include "places.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <unordered_map>

namespace robinfold {
namespace {

// ---- Constants: unit and reason ------------------------------------------------------------------------
constexpr Millis kSweep{20};          // pace of upkeep: well under any aim, cheap in CPU
constexpr Millis kRateTau{4000};      // memory of a worker's served work: some cold windows
constexpr Millis kDemandTau{10000};   // memory of a function's arrivals: about a keep-alive
constexpr Millis kDemandLeast{1000};  // arrivals are averaged over at least this: a first second tells little
constexpr Millis kStretchTau{2000};   // a worker's stretch is old news after this
constexpr Millis kSilence{400};       // least quiet spell that counts as a stall; pauses are of this size
constexpr Millis kEjectFirst{1000}, kEjectMost{8000};  // exclusions: the first; doubled with relapses up to
constexpr double kEjectShared = 3;    // with many routers so many times that: each calls there seldom
constexpr double kErrorWide = 0.2;    // a class that fails so often everywhere tells of no worker
constexpr Millis kForget{60000}, kForgetNew{5000};  // unused records are dropped; new: never served yet
constexpr std::size_t kFunctionsMost = 4096;  // and so many are known at most: any name may be called
constexpr double kRunGain = 0.1;      // EWMA gain of R: about the last ten answers
constexpr double kLoadGain = 0.3;     // EWMA gain of L: loads are few
constexpr double kOutlier = 4;        // one sample counts at most as this many times the average
constexpr double kStretchGain = 0.3;  // EWMA gain of a worker's stretch: a router hears from one seldom
constexpr double kStretchMost = 20;   // a stretch counts at most as this
constexpr double kErrorGain = 0.4;    // EWMA gain of a class's failures at one worker: two exclude it
constexpr double kErrorBad = 0.5;     // share of failures there that excludes, over half the class's share
constexpr double kColdSafety = 0.5;   // part of the cold budget that is used: chance and clock slack
constexpr double kRemote = 1.15;      // another zone counts as this much busier
constexpr double kEasy = 2;           // a stretch up to this is chance: service times vary
constexpr double kFullStretch = 6;    // a worker that turns a call away counts as stretched this much
constexpr double kBaseDrift = 1.02, kSharedDrift = 1.002;  // growth of the unloaded R an answer; shared: few
constexpr int kAimRuns = 5, kAimSamples = 5;  // an aim is so many runs till answers tell, and weighs so much
constexpr double kFirstMost = 2;   // a function's first answers tell of an R of at most so many usual
constexpr int kFirstTries = 30;    // a vote on what a first try is given goes on for so many
constexpr double kLimitFirst = 6, kLimitMost = 64;  // own calls at one worker: at first (AIMD), at most
constexpr double kCrowded = 2;     // a stretch past this says that the worker's cores are oversubscribed
constexpr Millis kBackOff{60};        // after a refusal of a worker: some service times
constexpr double kShared = 20;        // with so many routers a function's agreed place is most likely warm
constexpr int kLoadsOut = 6;           // a router's loads at once: more make a slow store slower
constexpr Millis kStood{50};        // an order answered sooner found its copies standing: no load is so short
constexpr double kPatience = 3;     // a load this many times the usual is no longer waited for
constexpr double kSilentRuns = 6;   // a call out for this many usual runs is taken as lost, if that is longer
constexpr double kAtOnce = 4;       // calls that a worker serves at once till its reports tell: more wait
constexpr double kSizeGain = 0.01;  // EWMA gain of what they tell: single reports are noisy
constexpr double kSizeUtil = 0.75;  // busier cores hold calls that wait; those tell nothing of size
constexpr double kSizeEasy = 0.5;   // up to what keeps this part of the cores busy, no call waits
constexpr Millis kLoadTau{8000};  // what a worker's reports told of its calls is old news after this
constexpr double kFurther = 0.25;  // each further place of a function counts as so many runs' wait
constexpr Millis kAbsentFor{1500};  // a place that said it has no copy is not tried again before
constexpr double kCrowdGain = 0.3;  // EWMA gain of the calls of its function that a call met
constexpr double kCrowdBusy = 0.5;  // a function that meets so many at a crowded worker gets a further place
constexpr int kSpill = 2;           // past so many times its agreed places a call does not spill
constexpr double kPerWorker = 2;    // calls of one function at once that one worker should serve
constexpr Millis kAlive{1000};      // a worker that answered in this time runs: two rounds of load news
constexpr double kLateKept = 0.5;   // a late answer worth this part or more is waited for
constexpr int kProbesLost = 3;      // so many failed probes on end, and no answer, count as a loss
constexpr Millis kNever{-1e15};     // before any time of any clock

// ---- State ---------------------------------------------------------------------------------------------
struct Copy {  // what is believed of one function at one worker
  int worker = 0, standing = 0, loading = 0, busy = 0;
  Millis used{kNever}, load_began{kNever}, absent_at{kNever};
  bool proven = false;  // proven: it has served a call or was told of
};
struct Function {
  std::uint64_t id = 0;
  int cls = -1, lanes = 1;
  Average run, load;
  double base = 0, load_hint = 0, arrivals = 0, crowd = 0;  // unloaded R; own calls, decaying; others met
  std::deque<std::uint64_t> queue;
  std::vector<Copy> copies;
  Millis seen{kNever}, born{kNever}, order_after{kNever};  // order_after: no further order before
  std::vector<int> places;  // workers in the order in which this router uses them
  bool missed = false;  // the last call sent found no copy
  int agreed = 0, list_version = -1;  // agreed: how many of them all routers share for this function
};
struct Health {  // of one class at one worker, or of the worker as a whole
  double errors = 0;
  Millis ejected_until{kNever}, eject_span{0};
  bool probation = false, lost = false;  // lost: seen to be down, not yet seen to be back
};
struct Worker : WorkerEntry, Health {
  Millis limit_moved{kNever}, heard{kNever}, answered{kNever}, full_until{kNever}, stretch_at{kNever};
  Millis died{kNever}, cold_filled{kNever}, waiting_at{kNever}, gone{kNever};
  std::uint64_t hash = 0;
  int inflight = 0, listed = 0, probes_lost = 0;  // probes_lost: on end, since it was doubted
  std::uint64_t asked_of = 0;  // the function of the order that asked in place of a probe
  Millis held_at{kNever}, doubted{kNever};  // since when a broken connection leaves open whether it runs
  bool doubted_reset = false;
  double limit = kLimitFirst, waiting = 0, stretch = 1, cold_tokens = 0, held = 0;  // held: as reported
  std::vector<Health> classes;
};
struct ClassRecord {
  Average run;
  double base = 0, errors = 0;  // unloaded R; share that failed of late, whoever served
  Millis first_try{0};          // what a first try is given: most calls are one
  int first_tries = 0;          // how many more were given that than something else, of late
};
enum class AttemptState { out, never_ran, may_have_run };
struct Attempt {
  int worker = 0;
  Millis sent{0};
  AttemptState state = AttemptState::out;
  bool lost = false;  // out for so long that it counts as unanswered
};
bool is_out(const Attempt& a) { return a.state == AttemptState::out; }
struct Request {
  std::string id;
  std::uint64_t serial = 0;
  int cls = -1, max_attempts = 1;
  Function* function = nullptr;
  Millis deadline{0}, aim_at{0};
  bool done = false, streaming = false;
  std::vector<Attempt> attempts;
  bool missed() const { return !attempts.empty() && attempts.back().state == AttemptState::never_ran; }
  int out() const { return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), is_out)); }
};

}  // namespace

class Policy::State {
 public:
  void handle(Millis now, const Event& event, std::vector<Action>& out) {
    now_ = std::max(now, now_);
    out_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
  }

 private:
  Settings s_;
  Millis now_{kNever};
  std::vector<Action>* out_ = nullptr;
  bool live_ = false, reports_queue_ = false;
  std::mt19937_64 random_;
  std::vector<Worker> workers_;
  std::unordered_map<std::string, int> worker_index_;
  std::vector<int> free_places_;  // in workers_, of those long gone
  std::vector<std::unique_ptr<Function>> functions_;  // in order of first sight, never of id
  std::unordered_map<std::uint64_t, Function*> function_index_;
  std::map<std::uint64_t, Request> requests_;
  std::unordered_map<std::string, std::uint64_t> request_index_;
  double longest_wait_ = 1e9, mean_held_ = 0;  // the shortest aim of all classes; of all reports of late
  std::vector<ClassRecord> classes_;  // by slot
  std::map<std::string, int> class_index_;  // of the classes that new requests may name
  Average any_run_, any_load_;
  double held_ = 0, busy_ = 0;  // EWMAs of one gain: calls that workers told of, and their weight then busy
  std::uint64_t next_serial_ = 1;
  std::deque<Millis> taken_, ordered_;  // for the load ration
  double served_ = 0, fleet_stretch_ = 1;
  int loads_out_ = 0, list_version_ = 0;
  Millis watch_at_{kNever}, stretch_at_{kNever}, served_at_{kNever};

  void act(Action action) { out_->push_back(std::move(action)); }

  double fading(Millis since, Millis tau) const { return std::exp(-((now_ - since) / tau)); }
  double chance() { return static_cast<double>(random_() % 1000) / 1000; }

  // ---- Worker view -------------------------------------------------------------------------------------
  Worker& at(int index) { return workers_[static_cast<std::size_t>(index)]; }
  const Worker& at(int index) const { return workers_[static_cast<std::size_t>(index)]; }
  Worker& worker(const Copy& c) { return at(c.worker); }
  Worker* find_worker(const std::string& id) {
    const auto found = worker_index_.find(id);
    return found == worker_index_.end() ? nullptr : &at(found->second);
  }
  int index_of(const Worker& w) const { return static_cast<int>(&w - workers_.data()); }

  Request* find_request(const std::string& id) {
    const auto found = request_index_.find(id);
    return !live_ || found == request_index_.end() ? nullptr : &requests_.at(found->second);
  }
  bool shared() const { return s_.routers >= kShared; }
  // Danger: the list is seconds late; a worker seen to die is cold when it answers again, and from then on.
  bool cold(const Worker& w) const {
    const Millis since = std::max(w.started, w.died);
    return w.lost || (since.count() > 0 && now_ - since < s_.cold_for);
  }
  bool fresh(const Worker& w) const { return w.put_back && w.answered < w.started; }
  // Danger: a worker that takes calls and answers none keeps looking idle.
  bool silent(const Worker& w) const { return w.inflight > 0 && now_ - w.heard > patience(any_run_.value); }
  Millis patience(double run) const { return std::max(kSilence, Millis(run * kSilentRuns)); }
  bool open(const Worker& w, const Health& h) const {  // on probation: one call at a time
    return now_ >= h.ejected_until && !(h.probation && w.inflight > 0);
  }
  bool usable(const Worker& w) const {
    return w.state == WorkerState::ready && open(w, w) && !silent(w) && now_ - w.doubted > kSilence;
  }
  bool serves(const Worker& w, int cls) const { return open(w, w.classes[slot(cls)]); }
  static std::size_t slot(int cls) { return static_cast<std::size_t>(cls + 1); }  // 0: no known class
  // What a run takes at the worker, in unloaded runs: its own answers while they are fresh, else the fleet's.
  double stretch_of(const Worker& w) const {
    const double fleet = 1 + (fleet_stretch_ - 1) * fading(stretch_at_, kStretchTau);
    const double fresh = fading(w.stretch_at, kStretchTau), seen = w.stretch * fresh + fleet * (1 - fresh);
    if (now_ - w.waiting_at > kStretchTau) return seen;
    return std::max(1 + w.waiting / at_once(w), 1 + (seen - 1) / 2);
  }
  void note_stretch(Worker& w, double stretch) {
    stretch = std::min(std::max(stretch, 0.0), kStretchMost);
    const double before = stretch_of(w);
    w.stretch = before + (stretch > before ? kStretchGain / 3 : kStretchGain) * (stretch - before);
    w.stretch_at = now_;
    if (w.stretch < kCrowded) {  // own calls at a worker past its cores are limited
      w.limit = std::min(kLimitMost, w.limit + (w.inflight + 2 >= w.limit ? 1 / w.limit : 0));
    } else if (now_ - w.limit_moved > kBackOff) {
      w.limit_moved = now_;
      w.limit = std::max(shared() ? 2.0 : 1.0, w.limit * 0.9);
    }
    fleet_stretch_ += (stretch > fleet_stretch_ ? kRunGain / 3 : kRunGain) * (stretch - fleet_stretch_);
    stretch_at_ = now_;
  }
  double busyness(const Worker& w) const {
    const double busy = (w.inflight + 2) * std::max(1.0, stretch_of(w)) / std::max(w.weight, 0.01);
    return w.zone == s_.zone ? busy : busy * kRemote;
  }
  void forget_copies(int index) {
    for (auto& f : functions_) {
      Copy* c = find_copy(*f, index);
      if (c == nullptr) continue;
      c->standing = 0;
      end_load(*c);
    }
  }
  // Danger: ten calls crowd two cores and leave most of twenty-four idle; taken for crowded, an idle fleet
  // gets needless copies. Read off all workers: one alone would be taken for small until it had told enough.
  double at_once(const Worker& w) const {
    if (busy_ <= 0) return kAtOnce;
    return std::min(std::max(kAtOnce, kSizeEasy * w.weight * held_ / busy_), kLimitMost);
  }
  void learn_size(const Worker& w, const std::vector<double>& report) {
    const auto reported = [&](ReportField field) {
      const auto found = std::find(s_.report_fields.begin(), s_.report_fields.end(), field);
      const auto place = static_cast<std::size_t>(found - s_.report_fields.begin());
      return place < report.size() ? report[place] : -1;
    };
    const double held = reported(ReportField::inflight), util = reported(ReportField::utilisation);
    // Calls that wait for a load, or for a core, tell nothing of its size.
    if (held < 0 || util < 0 || util > kSizeUtil || reported(ReportField::loading) > 0.5) return;
    held_ += kSizeGain * (std::min(held, 1000.0) - held_);
    busy_ += kSizeGain * (util * w.weight - busy_);
  }
  double held_at(const Worker& w) const {
    return mean_held_ + (w.held - mean_held_) * fading(w.held_at, kLoadTau);
  }
  void read_report(Worker& w, const Report& report) {
    if (report) learn_size(w, *report);
    for (std::size_t i = 0; report && i < report->size() && i < s_.report_fields.size(); ++i) {
      const bool queue = s_.report_fields[i] == ReportField::queue;
      if (!queue && (reports_queue_ || s_.report_fields[i] != ReportField::inflight)) continue;
      const double held = std::min(std::max((*report)[i], 0.0), 1000.0);
      w.held = held_at(w) + (now_ - w.held_at > kLoadTau ? 1 : 0.5) * (held - held_at(w));
      w.held_at = now_;
      mean_held_ += kRunGain * (held - mean_held_);
      w.waiting = std::max(held - (queue ? 0 : at_once(w)), 0.0);
      w.waiting_at = now_;
    }
  }
  // Danger: a class may fail at part of the workers, or everywhere: it is judged against the class elsewhere.
  // Danger: each of many routers would pay two failures at each worker that fails. An error at once tells.
  void judge(Worker& w, int cls, bool failed, bool at_once = false) {
    Health& h = w.classes[slot(cls)];
    double& usual = classes_[slot(cls)].errors;
    h.errors += kErrorGain * (failed - h.errors);
    usual += kRunGain / 2 * (failed - usual);
    if (!failed && now_ >= h.ejected_until) h.probation = false;
    const bool sign = shared() && at_once && usual < kErrorWide;
    if (failed && (h.probation || sign || h.errors > kErrorBad + usual / 2)) eject(h);
  }
  void eject(Health& h) {
    if (now_ < h.ejected_until) return;
    const Millis first = kEjectFirst * (shared() ? kEjectShared : 1);
    h.eject_span = h.probation ? std::min(h.eject_span * 2, kEjectMost) : first;
    h.ejected_until = now_ + h.eject_span;
    h.probation = true;
    h.errors = 0;
  }
  // Danger: a broken connection taken for a death leaves out a warm worker for a cold time. A question tells.
  void doubt(Worker& w, bool reset) {
    const bool can_ask = s_.probes || (s_.orders && !functions_.empty());
    if (!can_ask || w.state != WorkerState::ready) return unreachable(w, reset);
    w.doubted_reset = reset || (w.doubted_reset && now_ - w.doubted <= kSilence);
    if (now_ - w.doubted <= kSilence) return;  // the probe is out
    w.probes_lost = 0;
    ask(w);
  }
  void ask(Worker& w) {
    w.doubted = now_;
    if (s_.probes) return act(action::Probe{w.worker});
    w.asked_of = functions_.back()->id;  // an order for no copy tells as much where no probe is allowed
    act(action::Load{w.worker, w.asked_of, 0});
  }
  void unreachable(Worker& w, bool died) {
    if (died || !alive(w)) lose(w);
    eject(w);
  }
  bool alive(const Worker& w) const { return now_ - w.answered < kAlive; }
  // Danger: many routers send a worker that restarted, not yet listed, their full load: it counts as cold.
  void lose(Worker& w) {
    if (!w.lost) forget_copies(index_of(w));
    w.lost = true;
  }
  void note_alive(Worker& w) {
    w.answered = now_;
    if (!w.lost) return;
    w.lost = false;
    w.died = now_;
    w.cold_filled = kNever;
  }
  double fleet_rate() const {  // what this router gets served by a warm worker, for each millisecond
    double all = 0;
    for (const auto& w : workers_) all += w.state == WorkerState::ready && !cold(w);
    const double served = served_ * fading(served_at_, kRateTau) / kRateTau.count();
    return all > 0 && served > 0 ? served / all : 1.0 / s_.routers;
  }

  void on(const event::List& e) {
    if (e.kind == ListKind::failed) watch_at_ = now_ + kEjectFirst;
    if (!live_ || e.kind == ListKind::failed) return;
    ++list_version_;
    for (const auto& entry : e.entries) {
      const bool reused = !free_places_.empty();
      const int next = reused ? free_places_.back() : static_cast<int>(workers_.size());
      const auto [place, fresh] = worker_index_.try_emplace(entry.worker, next);
      if (fresh && reused) free_places_.pop_back();
      if (fresh && !reused) workers_.emplace_back();
      take_entry(place->second, entry);
    }
    for (auto& w : workers_) {
      if (e.kind != ListKind::delta && w.listed != list_version_) w.state = WorkerState::gone;
      if (w.state != WorkerState::gone) w.gone = now_;
    }
    pump_all();
  }
  void take_entry(int index, const WorkerEntry& entry) {
    Worker& w = at(index);
    const bool again = !w.worker.empty() && entry.started > w.started;  // same id, but empty and cold
    if (again || w.worker.empty()) {
      static_cast<Health&>(w) = Health();
      w.classes.assign(s_.classes.size() + 1, Health());
      w.cold_filled = kNever;
    }
    if (again || entry.state != WorkerState::ready) forget_copies(index);
    static_cast<WorkerEntry&>(w) = entry;
    w.listed = list_version_;
    w.hash = hash_of(entry.worker);
    if (!(w.weight > 0)) w.weight = 1;
  }

  // ---- Places ------------------------------------------------------------------------------------------
  // Each router sees a sliver of a function's calls. All hash it to the same few workers (rendezvous), so
  // that one's copy serves the others, and each uses them in an order of its own.
  double demand(const Function& f) const {  // this router's calls of the function in service at once
    const Millis span = std::min(kDemandTau, std::max(kDemandLeast, now_ - f.born));
    const double lately = f.arrivals * fading(f.seen, kDemandTau);
    return std::max(0.0, lately - 1) / span.count() * base_of(f);
  }
  void place(Function& f) {
    const double each = std::min(kPerWorker, f.lanes / 2.0);
    const int wanted = 1 + static_cast<int>(std::min(1000.0, demand(f) * s_.routers / each));
    if (f.list_version == list_version_ && wanted == f.agreed) return;
    std::vector<std::pair<std::uint64_t, int>> order;
    for (const auto& w : workers_) {
      if (w.state == WorkerState::ready) order.emplace_back(mix(f.id ^ w.hash), index_of(w));
    }
    std::sort(order.begin(), order.end());
    const auto shared = order.begin() + std::min<std::ptrdiff_t>(wanted, static_cast<int>(order.size()));
    for (auto i = order.begin(); i != shared; ++i) {
      const bool far = at(i->second).zone != s_.zone;
      i->first = mix(i->first + static_cast<std::uint64_t>(s_.rank)) / 2 + (far ? ~0ULL / 2 : 0);
    }
    std::sort(order.begin(), shared);
    f.places.clear();
    for (const auto& [hash, index] : order) f.places.push_back(index);
    f.agreed = wanted;
    f.list_version = list_version_;
  }

  // ---- Queues ------------------------------------------------------------------------------------------
  bool in_aim(const Request& r) const { return now_ + Millis(base_of(*r.function)) <= r.aim_at; }
  bool worth_holding(const Request& r) const {
    return in_aim(r) || (r.cls >= 0 && class_of(r)->late_worth >= kLateKept);
  }
  double class_worth(int cls) const {  // for each millisecond of work
    if (cls < 0) return 1;
    const double worth = s_.classes[static_cast<std::size_t>(cls)].worth, run = classes_[slot(cls)].base;
    return s_.worth_by_work || run <= 0 ? worth : worth / run;
  }
  // Danger: in an overload all is served, all late. The wait that a call accepts falls with its worth; one
  // past its aim goes only where nothing waits.
  bool worth_sending(const Request& r, const Worker& w) {
    const double run = base_of(*r.function), wait = run * std::max(0.0, stretch_of(w) - kEasy);
    if (wait <= 0) return true;
    if (!worth_holding(r)) return false;
    double best = 1e-9;
    for (int i = 0; slot(i) <= s_.classes.size(); ++i) best = std::max(best, class_worth(i));
    const double left = ((in_aim(r) ? r.aim_at : r.deadline) - now_).count();
    return wait + run <= left && wait <= longest_wait_ * std::sqrt(class_worth(r.cls) / best);
  }
  Request* head(Function& f) {  // the first that can still meet its aim, else the first
    if (f.queue.empty()) return nullptr;
    for (const auto serial : f.queue) { if (in_aim(requests_.at(serial))) return &requests_.at(serial); }
    return &requests_.at(f.queue.front());
  }
  void hold(Request& r, bool front) {
    auto& queue = r.function->queue;
    queue.insert(front ? queue.begin() : queue.end(), r.serial);
  }
  void unhold(const Request& r) {
    auto& queue = r.function->queue;
    queue.erase(std::remove(queue.begin(), queue.end(), r.serial), queue.end());
  }

  // ---- ESFF --------------------------------------------------------------------------------------------
  double run_of(const Function& f) const {
    return f.run.known() ? f.run.value : classes_[slot(f.cls)].run.value;
  }
  double load_of(const Function& f) const {
    if (f.load.known()) return f.load.value;
    return f.load_hint > 0 ? f.load_hint : any_load_.value;
  }
  double base_of(const Function& f) const {
    if (f.run.samples >= 5) return f.base;
    const double base = classes_[slot(f.cls)].base;
    return base > 0 ? base : run_of(f);
  }
  bool warm(const Copy& c) const {  // beliefs lapse after the told keep-alive
    return c.standing > 0 && (c.busy > 0 || now_ - c.used <= s_.keep_alive || s_.keep_alive.count() <= 0);
  }
  bool absent(const Copy& c) const { return now_ - c.absent_at <= kAbsentFor; }
  // K in lanes: copies in use where the head may go; something is held. Danger: lanes at a worker that turns
  // calls away are taken by other routers. Counted, they hold our calls to the deadline while others idle.
  int lanes_of(Function& f) {
    int k = 0;
    const Request& r = *head(f);
    for (const auto& c : f.copies) {
      Worker& w = worker(c);
      if (!usable(w) || !serves(w, f.cls) || !worth_sending(r, w) || now_ < w.full_until) continue;
      if (shared() && !may_warm(r, w)) continue;
      const int copies = (warm(c) ? c.standing : 0) + c.loading;
      const int room = std::max(0, static_cast<int>(std::ceil(w.limit)) - w.inflight);
      k += std::min(copies * f.lanes, c.busy + room);
    }
    return k;
  }
  double queued_after_load(const Function& f, int k) const {  // E of equations 6 and 7, V = 0
    const double held = static_cast<double>(f.queue.size()), run = run_of(f);
    if (k == 0) return held;  // L is at most what the aim leaves: a slow store would strand what is held
    const double aim = f.cls >= 0 ? s_.classes[static_cast<std::size_t>(f.cls)].aim.count() : 0;
    const double load = aim > 0 ? std::min(load_of(f), std::max(aim - run, run)) : load_of(f);
    if (run <= 0 || load <= 0) return 0;  // not sampled: load only if nothing is warm
    return held - load * k / run;
  }
  double weight_to_load(Function& f) {  // equation 10
    const int k = lanes_of(f);
    const double e = queued_after_load(f, k);
    if (e <= 0) return std::numeric_limits<double>::infinity();
    return run_of(f) + load_of(f) * (k + 1) / e;
  }
  Copy* find_copy(Function& f, int index) {
    for (auto& c : f.copies) { if (c.worker == index) return &c; }
    return nullptr;
  }
  Copy& copy_at(Function& f, int index) {
    if (Copy* c = find_copy(f, index)) return *c;
    return f.copies.emplace_back(Copy{index});
  }
  Copy* warm_lane(Function& f, const Request& r) {
    Copy* best = nullptr;
    double least = 0;
    for (auto& c : f.copies) {
      if (!warm(c) || c.busy >= c.standing * f.lanes || !has_room(worker(c))) continue;
      if (!worth_sending(r, worker(c)) || !may_send(r, worker(c))) continue;
      const bool tried = !r.attempts.empty() && r.attempts.back().worker == c.worker;
      const double score = busyness(worker(c)) * (tried ? 4 : fresh(worker(c)) ? 0.5 : 1);
      if (best != nullptr && score >= least) continue;
      best = &c;
      least = score;
    }
    return best;
  }
  // Danger: where all is warm elsewhere, a worker that is put back stays idle. Many routers' calls reach it.
  void welcome(Function& f) {
    for (auto& w : workers_) {
      const bool idle = f.queue.empty() && fresh(w) && now_ - std::max(w.started, w.heard) >= kAlive;
      if (!idle || shared() || !s_.orders || !may_load(w) || !may_order()) continue;
      w.heard = now_;
      return order_load(f, w, copy_at(f, index_of(w)));
    }
  }
  // Danger: each of many routers keeps to the first warm place of a function: some workers queue all day by
  // idle ones. A call goes where it waits least by reports, also where a copy may stand: misses are cheap.
  Copy* shared_lane(Function& f, const Request& r) {
    place(f);
    const std::size_t most = std::min(f.places.size(), static_cast<std::size_t>(f.agreed + kSpill));
    int best = -1;
    double least = 0;
    for (std::size_t i = 0; i < most; ++i) {
      Worker& w = at(f.places[i]);
      if (!has_room(w)) continue;
      const Copy* c = find_copy(f, f.places[i]);
      const bool known = c != nullptr && warm(*c);
      if (!known && c != nullptr && (c->loading > 0 || absent(*c))) continue;
      if (!known && i > 0 && (r.attempts.size() > 1 || r.missed())) continue;
      if ((known && c->busy >= c->standing * f.lanes) || !worth_sending(r, w) || !may_send(r, w)) continue;
      const double further = static_cast<double>(i) + (!known && static_cast<int>(i) >= f.agreed ? 2.0 : 0.0);
      double cost = std::max(1.0, (held_at(w) + w.inflight + 1) / w.weight) + kFurther * further;
      if (!r.attempts.empty() && r.attempts.back().worker == f.places[i]) cost *= 4;
      if (best >= 0 && cost >= least) continue;
      best = f.places[i];
      least = cost;
    }
    if (best < 0) return warm_lane(f, r);
    Copy& c = copy_at(f, best);
    c.standing = std::max(c.standing, 1);
    return &c;
  }
  // A function that meets its own calls at a crowded worker gets a copy where one found none, for later.
  void spread(Function& f, Worker& w, Copy& c) {
    if (!shared() || f.crowd < kCrowdBusy || f.places.empty() || f.places[0] == c.worker) return;
    const Worker& first = at(f.places[0]);
    const bool crowded = usable(first) && held_at(first) + 1 >= kCrowded * first.weight;
    if (crowded && may_load(w) && may_order() && now_ >= f.order_after && !cold(w)) order_load(f, w, c);
  }
  void pump(Function& f) {
    while (Request* r = head(f)) {
      Copy* c = shared() && s_.miss_is_answered ? shared_lane(f, *r) : warm_lane(f, *r);
      if (c == nullptr) return;
      send(*r, *c);
    }
  }
  void pump_all() {
    std::multimap<double, Function*> held;
    for (auto& f : functions_) {
      if (!f->queue.empty()) held.emplace(weight_to_load(*f) / class_worth(f->cls), f.get());
    }
    for (auto& [weight, f] : held) consider(*f);
  }
  void consider(Function& f) {
    pump(f);
    if (f.queue.empty() || queued_after_load(f, lanes_of(f)) <= 0) return;
    const int index = next_place(f);
    if (index >= 0) start_load(f, index);
  }
  int next_place(Function& f) {  // the first of this router's places that may load and holds no copy yet
    place(f);
    const Request* r = head(f);
    // Danger: calls that spill past the agreed places load copies there, which push out others, so all load.
    // Harm: a call waits though another has room; those lost or cold do not count, nor does a load in time.
    const bool in_time = now_ + Millis(load_of(f) + base_of(f)) <= r->aim_at;
    int met = 0;
    for (const int index : f.places) {
      Worker& w = at(index);
      if (!s_.miss_is_answered && !in_time && met > kSpill * f.agreed) return -1;
      if (usable(w) && serves(w, f.cls) && !cold(w)) ++met;
      if (!may_load(w) || !serves(w, f.cls) || !has_room(w)) continue;
      const Copy* c = find_copy(f, index);
      if (c != nullptr && (warm(*c) || c->loading > 0)) continue;
      const bool order = shared() && s_.miss_is_answered && s_.orders;  // an order weighs nothing
      if ((order || may_warm(*r, w)) && worth_sending(*r, w)) return index;
    }
    return -1;
  }
  void start_load(Function& f, int index) {
    Worker& w = at(index);
    Copy& c = copy_at(f, index);
    if (c.loading > 0) return;
    Request* r = head(f);  // callers have seen that one is held
    const bool rationed = !s_.orders || !may_order();
    if (s_.miss_is_answered ? r->attempts.empty() && !f.missed : shared() || rationed) {
      if (!may_send(*r, w)) return;
      c.standing = 1;
      send(*r, c);
      return pump(f);
    }
    if (rationed || now_ < f.order_after) return;
    order_load(f, w, c);
  }
  void order_load(Function& f, Worker& w, Copy& c) {
    act(action::Load{w.worker, f.id, warm(c) ? std::min(c.standing + 1, 16) : 1});
    if (s_.load_window.count() > 0) ordered_.push_back(now_);
    loads_out_ += 1 - c.loading;
    c.loading = 1;
    c.load_began = c.used = now_;
  }
  // Equation 9 with V = 0 is R: the lowest held function below it gets this worker, else our head goes.
  void handoff(Function& f, int index) {
    if (!may_load(at(index))) return consider(f);
    Function* best = nullptr;
    double least = run_of(f);
    for (auto& g : functions_) {
      if (g.get() == &f || g->queue.empty()) continue;
      const double weight = weight_to_load(*g);
      if (weight >= least) continue;
      best = g.get();
      least = weight;
    }
    if (best != nullptr) start_load(*best, index);
    consider(f);
  }

  // ---- Rule gates --------------------------------------------------------------------------------------
  const ClassSettings* class_of(const Request& r) const {
    return r.cls < 0 ? nullptr : &s_.classes[static_cast<std::size_t>(r.cls)];
  }
  bool may_repeat(const Request& r, const Worker* to) const {  // rule 2, for a further send or a refusal
    const ClassSettings* c = class_of(r);
    for (const auto& a : r.attempts) {
      if (a.state == AttemptState::never_ran) continue;
      if (c == nullptr || c->semantics == Semantics::once) return false;
      if (c->semantics == Semantics::repeatable) continue;
      if (now_ - a.sent + s_.tick > c->key_window) return false;
      if (c->scope == KeyScope::all) continue;
      const Worker& first = at(a.worker);
      if (to == nullptr || (c->scope == KeyScope::zone ? to->zone != first.zone : to->cell != first.cell))
        return false;
    }
    return true;
  }
  bool has_room(const Worker& w) const { return w.inflight < w.limit && now_ >= w.full_until; }
  bool may_send(const Request& r, Worker& w) {
    if (r.done || r.streaming || now_ >= r.deadline) return false;
    if (static_cast<int>(r.attempts.size()) >= r.max_attempts || r.out() > s_.second_copies) return false;
    for (const auto& a : r.attempts) { if (is_out(a) && &at(a.worker) == &w) return false; }
    return usable(w) && serves(w, r.cls) && may_repeat(r, &w) && may_warm(r, w);
  }
  // Rule 4. A cold worker is sent the stated multiple of its present share of what this router gets served by
  // a warm one. Danger: with many routers that is less than a call a window. It is saved up, from a random
  // start, so that the routers take turns without talking. Misses count: the sends are what is noted.
  bool may_warm(const Request& r, Worker& w) {
    if (!cold(w)) return true;
    const double age = w.lost ? 0 : std::max(0.0, (now_ - std::max(w.started, w.died)) / s_.cold_for);
    const double share = s_.cold_from + (1 - s_.cold_from) * std::min(1.0, age);
    // Danger: what one of many gets from a warm worker is part of what that can do; many part its cores.
    const double work = cold_work(r);
    const double part = shared() ? w.weight / s_.routers : fleet_rate();
    const double pace = kColdSafety * s_.cold_multiple * share * part;
    if (w.cold_filled == kNever) w.cold_tokens = work * chance();
    if (w.cold_filled > kNever) w.cold_tokens += pace * (now_ - w.cold_filled).count();
    w.cold_filled = now_;
    w.cold_tokens = std::min(w.cold_tokens, std::max(work, pace * s_.cold_window.count() / 5));
    // Danger: where a miss has used up what was saved, a cold worker stays empty. A known copy is used ahead.
    const Copy* c = shared() ? find_copy(*r.function, index_of(w)) : nullptr;
    return w.cold_tokens >= (c != nullptr && c->proven ? 0 : work);
  }
  double cold_work(const Request& r) const {  // the rule weighs a call as the mean work of its class
    return shared() && classes_[slot(r.cls)].base > 0 ? classes_[slot(r.cls)].base : work_of(r);
  }
  double work_of(const Request& r) const {
    const double work = classes_[slot(r.cls)].run.value;
    const ClassSettings* c = class_of(r);  // before any answer an aim is taken as four times the work
    return work > 0 ? work : std::max({any_run_.value, c != nullptr ? c->aim.count() / 4 : 0, 1.0});
  }
  bool may_load(const Worker& w) const { return usable(w) && loads_out_ < kLoadsOut; }
  void forget_taken() {
    while (!taken_.empty() && now_ - taken_.front() >= s_.load_window) taken_.pop_front();
  }
  bool may_order() {  // rule 5
    if (s_.load_window.count() <= 0) return true;
    while (!ordered_.empty() && now_ - ordered_.front() > s_.load_window) ordered_.pop_front();
    forget_taken();
    const double taken = static_cast<double>(taken_.size());
    return static_cast<double>(ordered_.size()) + 1 <= s_.load_floor + s_.load_ratio * taken;
  }

  // ---- Attempts and final answers ----------------------------------------------------------------------
  void send(Request& r, Copy& c) {
    Worker& w = worker(c);
    unhold(r);
    act(action::Send{r.id, w.worker, r.deadline - now_});
    r.attempts.push_back({c.worker, now_, AttemptState::out});
    if (w.inflight++ == 0) w.heard = now_;
    ++c.busy;
    c.used = now_;
    if (cold(w)) w.cold_tokens -= cold_work(r);
  }
  void finish(Request& r) {
    unhold(r);
    r.done = true;
    if (r.out()) return;
    request_index_.erase(r.id);
    requests_.erase(r.serial);
  }
  void give_up(Request& r) {  // the one final answer that is ours to give
    act(may_repeat(r, nullptr) ? Action(action::Refuse{r.id, retry_after(r)}) : Action(action::Fail{r.id}));
    finish(r);
  }
  Millis retry_after(const Request& r) {  // in time for the aim, at random lest they return together
    if (!s_.retry_after) return Millis(0);
    const Millis left = (r.aim_at - now_) / 2;
    return left.count() > 0 ? std::min(left * (0.5 + chance()), s_.max_retry_after) : s_.max_retry_after;
  }
  // Danger: calls held past their aims take the lanes of calls that could meet theirs, and all are late. They
  // end at once, but for those that a load of ours is on the way for.
  void shed(Function& f) {
    bool loading = false;
    for (const auto& c : f.copies) loading = loading || c.loading > 0;
    for (const auto serial : std::vector<std::uint64_t>(f.queue.begin(), f.queue.end())) {
      Request& r = requests_.at(serial);
      const bool too_late = now_ + Millis(base_of(f)) > r.deadline;
      if (too_late || !(loading || worth_holding(r))) give_up(r);
    }
  }

  void on(const event::Request& e) {
    if (!live_ || request_index_.count(e.id) != 0) return;
    if (s_.load_window.count() > 0) taken_.push_back(now_);
    forget_taken();
    Request& r = requests_[next_serial_];
    r.id = e.id;
    r.serial = request_index_[e.id] = next_serial_++;
    if (const auto c = class_index_.find(e.class_name); c != class_index_.end()) r.cls = c->second;
    r.max_attempts = s_.max_attempts;
    r.function = &function_of(e, r.cls);
    r.deadline = now_ + e.expires_in;
    const ClassSettings* c = class_of(r);
    r.aim_at = c != nullptr && c->aim.count() > 0 ? std::min(r.deadline, now_ + c->aim) : r.deadline;
    // Danger: a client's later try looks new, though its aim has passed: it is given less than the first.
    ClassRecord& record = classes_[slot(r.cls)];
    const bool later = std::abs((e.expires_in - record.first_try).count()) > (2 * s_.tick).count();
    record.first_tries = std::min(record.first_tries + (later ? -1 : 1), kFirstTries);
    if (record.first_tries < 0) {
      record.first_try = e.expires_in;
      record.first_tries = 1;
    } else if (c != nullptr && later) {
      r.aim_at = std::min(r.aim_at, r.deadline - c->deadline + c->aim);
    }
    if (now_ >= r.deadline - s_.tick) return give_up(r);
    act(action::SetTimer{r.deadline - s_.tick - now_, r.serial});
    hold(r, false);
    consider(*r.function);  // the arrival stands in the queue already: N + 1 is its length
    welcome(*function_index_.at(e.function));
  }
  Function& function_of(const event::Request& e, int cls) {
    auto& place = function_index_[e.function];
    if (place == nullptr) {
      place = functions_.emplace_back(std::make_unique<Function>()).get();
      place->id = e.function;
      place->born = now_;
    }
    Function& f = *place;
    f.cls = cls;
    f.lanes = std::min(std::max(e.lanes, 1), 1024);
    if (e.load_hint) f.load_hint = std::max(e.load_hint->count(), 0.0);
    f.arrivals = 1 + f.arrivals * fading(f.seen, kDemandTau);
    f.seen = now_;
    return f;
  }

  void on(const event::Answer& e) {
    Request* found = find_request(e.id);
    if (found == nullptr || e.attempt < 0 || e.attempt >= static_cast<int>(found->attempts.size())) return;
    Request& r = *found;
    Attempt& a = r.attempts[static_cast<std::size_t>(e.attempt)];
    if (a.state != AttemptState::out) return;
    a.state = proves_never_ran(e.outcome) ? AttemptState::never_ran : AttemptState::may_have_run;
    Function& f = *r.function;
    const int index = a.worker;
    Worker& w = at(index);
    Copy& c = copy_at(f, index);
    w.inflight = std::max(0, w.inflight - 1);
    c.busy = std::max(0, c.busy - 1);
    if (e.outcome != Outcome::timeout && e.outcome != Outcome::cancelled) w.heard = now_;
    if (e.outcome == Outcome::ok || e.outcome == Outcome::full || e.outcome == Outcome::miss) note_alive(w);
    read_report(w, e.report);
    learn(f, w, c, r, e);
    const bool ended = e.over || r.done;
    if (ended) finish(r);
    if (!ended && !r.out() && !r.streaming) try_again(r);
    handoff(f, index);
  }
  void learn(Function& f, Worker& w, Copy& c, const Request& r, const event::Answer& e) {
    const double elapsed = std::max(e.elapsed.count(), 0.0);
    switch (e.outcome) {
      case Outcome::ok: {
        if (e.warmth == Warmth::stood || e.warmth == Warmth::untold) {
          f.run.add(elapsed, kRunGain, kOutlier);
          any_run_.add(elapsed, kRunGain / 4, kOutlier);
          drift(f.base, f.run.value, shared() ? kFirstMost * base_of(f) : f.run.value);
          if (r.cls >= 0) {
            ClassRecord& record = classes_[slot(r.cls)];
            record.run.add(elapsed, kRunGain / 4, kOutlier);
            drift(record.base, record.run.value, record.run.value);
          }
          note_stretch(w, elapsed / base_of(f));
        } else if (e.warmth == Warmth::began) {
          note_load(f, std::max(elapsed - run_of(f), 1.0));
        }
        judge(w, r.cls, false);
        f.crowd += kCrowdGain * (e.crowd - f.crowd);
        f.missed = false;
        if (now_ >= w.ejected_until) w.probation = false;
        c.standing = std::max(c.standing, 1);
        c.proven = true;
        c.used = now_;
        served_ = served_ * fading(served_at_, kRateTau) + work_of(r);
        served_at_ = now_;
        break;
      }
      case Outcome::miss:
        c.standing = 0;
        if (shared()) c.absent_at = now_;
        f.missed = true;
        spread(f, w, c);
        break;
      case Outcome::full:
        // Danger: many routers coming back after the same short while keep a full worker full.
        w.full_until = now_ + kBackOff * (1 + s_.routers / kShared / 2) * (0.5 + chance());
        w.waiting_at = kNever;
        note_stretch(w, kFullStretch);
        break;
      case Outcome::connect_failed:
      case Outcome::reset: doubt(w, e.outcome == Outcome::reset); break;
      case Outcome::error:
      case Outcome::timeout:
        // Danger: calls of functions that no worker knows fail wherever they go; that tells of no worker.
        if (r.attempts[static_cast<std::size_t>(e.attempt)].lost || !(f.run.known() || shared())) break;
        judge(w, r.cls, true, e.outcome == Outcome::error && elapsed < base_of(f) / 2);
        break;
      default: break;
    }
  }
  void drift(double& base, double run, double most) {  // most: of the first
    base = std::min(base > 0 ? base * (shared() ? kSharedDrift : kBaseDrift) : most, run);
  }
  void end_load(Copy& c) { loads_out_ -= std::exchange(c.loading, 0); }
  void note_load(Function& f, double ms) {
    f.load.add(ms, kLoadGain, kOutlier);
    any_load_.add(ms, kLoadGain / 4, kOutlier);
  }
  void try_again(Request& r) {
    const bool spent = static_cast<int>(r.attempts.size()) >= r.max_attempts;
    bool any = may_repeat(r, nullptr);
    for (const auto& w : workers_) any = any || may_repeat(r, &w);
    if (spent || !any || !worth_holding(r)) return give_up(r);
    hold(r, true);
  }

  void on(const event::Loaded& e) {
    const auto found = function_index_.find(e.function);
    Worker* w = find_worker(e.worker);
    if (!live_ || found == function_index_.end() || w == nullptr) return;
    Function& f = *found->second;
    Copy& c = copy_at(f, index_of(*w));
    if (w->asked_of == e.function && w->doubted > kNever && c.loading == 0) {
      if (e.outcome == Outcome::ok) c.standing = std::min(std::max(e.copies, 0), 16);
      const bool runs = e.outcome == Outcome::full || e.outcome == Outcome::error;
      return answered(*w, runs ? Outcome::ok : e.outcome);
    }
    if (c.loading > 0) {
      end_load(c);
      // Danger: an order that found its copies standing tells of no load; averaged in, L comes to nothing.
      if (e.outcome == Outcome::ok && e.elapsed > kStood) note_load(f, e.elapsed.count());
      // Danger: orders that fail at once would go out at every sweep, to one worker after the other.
      if (e.copies == 0) f.order_after = now_ + kSilence;
      if (e.copies > 0) f.missed = false;
    }
    if (const bool reset = e.outcome == Outcome::reset; reset || e.outcome == Outcome::connect_failed) {
      doubt(*w, reset);
    } else if (e.outcome != Outcome::timeout) {
      c.standing = std::min(std::max(e.copies, 0), 16);
      c.proven = c.standing > 0;
      c.used = now_;
    }
    pump_all();  // a load's place goes to the function that is worth most, not to the next that asks
  }
  // Danger: impatient clients leave and come back while the worker still serves what nobody waits for.
  void on(const event::Left& e) {
    Request* r = find_request(e.id);
    if (r == nullptr) return;
    for (std::size_t i = 0; s_.cancel && !r->streaming && i < r->attempts.size(); ++i)
      if (is_out(r->attempts[i])) act(action::Cancel{e.id, static_cast<int>(i)});
    finish(*r);
  }
  void on(const event::Peer&) {}  // routers do not talk
  void on(const event::StreamBegan& e) { if (Request* r = find_request(e.id)) r->streaming = true; }

  // ---- Event dispatch ----------------------------------------------------------------------------------
  void on(const event::Start& e) {
    State fresh;
    std::tie(fresh.out_, fresh.now_, fresh.live_) = std::tuple(out_, now_, true);
    *this = std::move(fresh);
    random_.seed(e.settings.seed);
    on(event::Retune{e.settings});
    if (s_.ask_list) act(action::Watch{true});
    act(action::SetTimer{kSweep, 0});
  }
  // Danger: requests that are open go by the rules they came under: a class that changes gets a new place.
  void on(const event::Retune& e) {
    std::vector<bool> used(s_.classes.size() + 1);
    for (const auto& [serial, r] : requests_) used[slot(r.cls)] = true;
    used.erase(used.begin());
    Settings next = e.settings;
    next.classes = std::move(s_.classes);
    next.routers = std::max(next.routers, 1);
    const std::vector<int> places = settle(next.classes, e.settings.classes, used);
    s_ = std::move(next);
    classes_.resize(s_.classes.size() + 1);
    for (auto& w : workers_) w.classes.resize(classes_.size());
    longest_wait_ = 1e9;
    const auto before = std::exchange(class_index_, {});
    for (std::size_t i = 0; i < places.size(); ++i) {
      const ClassSettings& c = e.settings.classes[i];
      if (c.aim.count() > 0) longest_wait_ = std::min(longest_wait_, c.aim.count());
      class_index_[c.name] = places[i];
      const auto same = before.find(c.name);
      if (same != before.end() && same->second == places[i]) continue;
      for (auto& w : workers_) w.classes[slot(places[i])] = Health();
      ClassRecord& record = classes_[slot(places[i])];
      record = same != before.end() ? classes_[slot(same->second)] : ClassRecord();
      // Danger: a router takes its first answers, slow for a load, for the usual, and every aim for missed.
      if (!shared() || record.run.known() || c.aim.count() <= 0) continue;
      record.base = c.aim.count() / kAimRuns;
      record.run = {record.base, kAimSamples};
    }
    reports_queue_ = std::count(s_.report_fields.begin(), s_.report_fields.end(), ReportField::queue) > 0;
  }
  void on(const event::Probed& e) {
    Worker* w = find_worker(e.worker);
    if (!live_ || w == nullptr) return;
    if (e.outcome == Outcome::ok) read_report(*w, e.report);
    answered(*w, e.outcome);
  }
  void answered(Worker& w, Outcome outcome) {  // what was asked of a worker in doubt
    const Millis asked = std::exchange(w.doubted, kNever);
    if (outcome == Outcome::ok) {
      note_alive(w);
    } else if (asked > kNever && outcome != Outcome::timeout) {
      // Danger: new connections are reset as well; what has answered meanwhile runs.
      if (w.answered > asked) return;
      if (++w.probes_lost < kProbesLost) return ask(w);
      unreachable(w, w.doubted_reset);
    } else if (!alive(w)) {
      lose(w);
    }
  }
  void on(const event::Stop&) { *this = State(); }
  void on(const event::Timer& e) {
    if (!live_) return;
    if (e.token == 0) return sweep();
    const auto found = requests_.find(e.token);
    if (found == requests_.end()) return;
    Request& r = found->second;
    if (!r.done && !r.streaming && now_ + 2 * s_.tick >= r.deadline) give_up(r);
  }
  void sweep() {
    act(action::SetTimer{kSweep, 0});
    if (s_.ask_list && watch_at_ > kNever && now_ >= watch_at_) {
      watch_at_ = kNever;
      act(action::Watch{true});
    }
    for (auto& f : functions_) upkeep(*f);
    find_lost();
    pump_all();
    for (auto& f : functions_) shed(*f);
    prune();
  }
  // Danger: a silent worker answers nothing till the deadline.
  void find_lost() {
    for (auto& [serial, r] : requests_) {
      if (r.done || r.streaming || r.out() == 0) continue;
      Attempt& a = *std::find_if(r.attempts.begin(), r.attempts.end(), is_out);
      Worker& w = at(a.worker);
      // A copy believed by agreement may be loading still: its calls are slow, not lost.
      const double load = copy_at(*r.function, a.worker).proven ? 0 : load_of(*r.function) * kPatience;
      const Millis run = patience(base_of(*r.function) * std::max(1.0, stretch_of(w)));
      if (now_ - a.sent <= run + Millis(load)) continue;
      if (silent(w)) eject(w);
      if (a.lost) continue;
      a.lost = true;
      judge(w, r.cls, true);
      if (!may_repeat(r, nullptr) || (usable(w) && serves(w, r.cls))) continue;
      // A second copy beside it loses nothing of what the first may still bring.
      if (Copy* second = s_.second_copies ? warm_lane(*r.function, r) : nullptr) {
        send(r, *second);
      } else if (s_.cancel) {
        act(action::Cancel{r.id, static_cast<int>(&a - r.attempts.data())});
      }
    }
  }
  void upkeep(Function& f) {
    for (auto& c : f.copies) {
      if (c.busy > 0) c.used = now_;
      if (!warm(c)) c.standing = 0;
      c.proven = c.proven && c.standing > 0;
      const Millis most(kPatience * std::max(load_of(f), kSilence.count()));  // its answer may be lost
      if (c.loading > 0 && now_ - c.load_began > most) end_load(c);
    }
    const auto empty = [&](const Copy& c) { return c.standing + c.loading + c.busy == 0 && !absent(c); };
    f.copies.erase(std::remove_if(f.copies.begin(), f.copies.end(), empty), f.copies.end());
  }
  // Danger: ids of workers never come back; kept for good, each deploy would leave some behind.
  void prune_workers() {
    for (auto& w : workers_) {
      const bool unused = w.state == WorkerState::gone && w.inflight == 0 && now_ - w.gone > kForget;
      if (!unused || w.worker.empty()) continue;
      const int index = index_of(w);
      forget_copies(index);
      worker_index_.erase(w.worker);
      free_places_.push_back(index);
      w = Worker();
      w.state = WorkerState::gone;
    }
  }
  void prune() {
    prune_workers();
    const auto stale = [&](const std::unique_ptr<Function>& f) {
      const Millis kept = functions_.size() > kFunctionsMost ? kSweep : f->run.known() ? kForget : kForgetNew;
      const bool unused = f->queue.empty() && f->copies.empty() && now_ - f->seen > kept;
      if (unused) function_index_.erase(f->id);
      return unused;
    };
    functions_.erase(std::remove_if(functions_.begin(), functions_.end(), stale), functions_.end());
  }
};

Policy::Policy() : state_(std::make_unique<State>()) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
void Policy::handle(Millis now, const Event& event, std::vector<Action>& out) {
  state_->handle(now, event, out);
}

}  // namespace robinfold
