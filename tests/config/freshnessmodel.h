// A random model of daemons around a store, in virtual time, that drives one FreshnessTracker per daemon.
#ifndef CURRANTLUG_TESTS_CONFIG_FRESHNESSMODEL_H
#define CURRANTLUG_TESTS_CONFIG_FRESHNESSMODEL_H

#include "config/freshness.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace currantlug::config {

/// Tickets are numbers and stand for all tickets before them. Daemons pull, attest, file, crash, restart, pause and are
/// replaced; the store fails or is slow; messages take up to 3 s, and partitions cut them.
class FreshnessModel
{
public:
    struct Options
    {
        std::uint64_t seed = 0;
        FreshnessSettings settings;
        bool faults = true;
    };

    explicit FreshnessModel(Options options)
        : options_(options)
        , random_(options.seed)
    {
        const int initial = options_.faults ? 3 + static_cast<int>(uniform(3)) : 5;
        for (int i = 0; i < initial; ++i) {
            startDaemon();
            storeView_.members.push_back(nodes_.back()->id);
        }
        storeView_.version = 1;
        after(0, [this] { fileSomewhere(); });
        after(0, [this] { check(); });
        if (options_.faults) {
            // Each seed leaves out half of the kinds of faults, so that long sequences of the others occur.
            for (double &weight : faultWeights_) {
                weight = chance(0.5) ? uniform(1) : 0;
            }
            faultInterval_ = 1 + uniform(6);
            after(10, [this] { fault(); });
        }
    }

    void run(double seconds)
    {
        const Instant end = now_ + absl::Seconds(seconds);
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.at);
            event.run();
        }
        now_ = end;
    }

    void setStore(bool up, double delayScale = 1)
    {
        storeUp_ = up;
        storeDelay_ = delayScale;
    }
    /// Splits off the first daemons; the store stays with the others.
    void splitOff(std::size_t count)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i]->group = i < count ? 1 : 0;
        }
    }
    void restartDaemon(std::size_t index) { restart(*nodes_[index]); }
    /// Daemons that are alive and give this answer.
    std::size_t count(Serving serving) const
    {
        return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto &node) {
            return node->alive && node->tracker->decide(now_) == serving;
        }));
    }

    /// Checks in which a daemon served without a ticket that was accepted more than this long before.
    int violations = 0;
    absl::Duration allowedLag = absl::Seconds(8); ///< 6 s and 2 s; the guarantee is 14 s.
    std::map<Serving, int> served; ///< Checks by decision.
    std::size_t accepted() const { return acceptedAt_.size(); }

private:
    struct Node
    {
        DaemonId id;
        bool alive = true;
        int incarnation = 0;
        int group = 0;
        Instant pausedUntil;
        std::unique_ptr<FreshnessTracker> tracker;
        MemberView view;
        std::map<DaemonId, std::pair<std::uint64_t, Instant>> versionsHeard;
    };
    struct Event
    {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };
    struct Filing
    {
        std::uint64_t number = 0;
        Instant pushedAt;
        std::set<DaemonId> holders;
    };
    struct Reply
    {
        Attestation attestation;
        MemberView view;
    };

    double uniform(double max) { return std::uniform_real_distribution<>(0, max)(random_); }
    bool chance(double rate) { return uniform(1) < rate; }
    double delay() { return options_.faults && chance(0.1) ? uniform(1.5) : uniform(0.05); }
    Node &anyNode() { return *nodes_[static_cast<std::size_t>(uniform(static_cast<double>(nodes_.size())))]; }

    void after(double seconds, std::function<void()> run)
    {
        events_.push({now_ + absl::Seconds(seconds), ++order_, std::move(run)});
    }

    // Runs in the daemon after the delay, unless it has stopped by then; a paused daemon runs it when it continues.
    void runIn(Node &node, double seconds, std::function<void()> run)
    {
        after(seconds, [this, &node, incarnation = node.incarnation, run = std::move(run)] {
            if (!node.alive || node.incarnation != incarnation) {
                return;
            }
            if (node.pausedUntil > now_) {
                runIn(node, absl::ToDoubleSeconds(node.pausedUntil - now_), run);
                return;
            }
            run();
        });
    }

    void startDaemon()
    {
        nodes_.push_back(std::make_unique<Node>());
        nodes_.back()->id = DaemonId("d" + std::to_string(nodes_.size()));
        restart(*nodes_.back());
    }

    void restart(Node &node)
    {
        ++node.incarnation;
        node.tracker = std::make_unique<FreshnessTracker>(node.id, options_.settings, now_);
        node.view = {};
        node.versionsHeard.clear();
        runIn(node, uniform(1), [this, &node] { tick(node); });
    }

    void tick(Node &node)
    {
        const bool relay = &node == nodes_[0].get() || &node == nodes_[1].get();
        if (relay || (node.tracker->age(now_) > absl::Seconds(3) && chance(0.5))) {
            storeCall(
                node, [this] { return storeHead_; },
                [this, &node](std::uint64_t head, Instant sentAt) {
                    learn(node, head, storeView_);
                    node.tracker->confirm(head, sentAt, now_);
                });
        } else {
            exchange(node, *nodes_[static_cast<std::size_t>(uniform(2))], 0, [](const Reply &) {});
        }
        if (node.tracker->wantsAttestations(now_) || !node.view.previousMembers.empty()) {
            for (const auto &other : nodes_) {
                exchange(node, *other, 0, [](const Reply &) {});
            }
        }
        runIn(node, 1, [this, &node] { tick(node); });
    }

    // One store call: `effect` runs in the store, `then` with its result and the instant of sending in the daemon.
    void storeCall(Node &node, std::function<std::uint64_t()> effect, std::function<void(std::uint64_t, Instant)> then)
    {
        const Instant sentAt = now_;
        const double there = delay() * storeDelay_;
        const double back = delay() * storeDelay_;
        after(there, [this, &node, sentAt, back, effect = std::move(effect), then = std::move(then)] {
            if (!storeUp_ || node.group != 0) {
                return;
            }
            runIn(node, back, [this, &node, sentAt, result = effect(), then] { then(result, sentAt); });
        });
    }

    // Pull, attest or push (if `push` is not 0): the answer carries the other's attestation and member list.
    void exchange(Node &from, Node &to, std::uint64_t push, std::function<void(const Reply &)> then)
    {
        if (&from == &to || from.group != to.group) {
            return;
        }
        const Instant sentAt = now_;
        runIn(to, delay(),
              [this, &from, &to, sentAt, push, then = std::move(then), view = from.view,
               senderHead = from.tracker->head(), incarnation = from.incarnation] {
                  if (push != 0 && (to.tracker->head() + 1 >= push || chance(0.7))) {
                      learn(to, std::max(push, senderHead), view);
                  }
                  const Reply reply{to.tracker->ownAttestation(now_), to.view};
                  if (from.group != to.group || from.incarnation != incarnation) {
                      return;
                  }
                  runIn(from, delay(), [this, &from, &to, sentAt, reply, then, push] {
                      from.versionsHeard[to.id] = {reply.view.version, sentAt};
                      from.tracker->recordAnswer(to.id, reply.attestation, sentAt, now_);
                      // Fetching what the answer announced is another call, which may fail. The answer to a push must
                      // be followed by the newer member list before it counts.
                      if (push != 0 || chance(0.8)) {
                          learn(from, reply.attestation.head, reply.view);
                      }
                      then(reply);
                  });
              });
    }

    void learn(Node &node, std::uint64_t head, const MemberView &view)
    {
        node.tracker->applyHead(head, now_);
        const bool inEffect = view.version == node.view.version && view.previousMembers.empty();
        if (view.version > node.view.version || inEffect) {
            node.view = view;
            node.tracker->applyMembers(view, now_);
        }
        const auto holds = [&](const DaemonId &id) {
            const auto heard = node.versionsHeard.find(id);
            return id == node.id
                || (heard != node.versionsHeard.end() && heard->second.first >= node.view.version
                    && now_ - heard->second.second <= absl::Seconds(2));
        };
        if (!node.view.previousMembers.empty() && majority(node.view.previousMembers, holds)) {
            node.view.previousMembers.clear();
            node.tracker->applyMembers(node.view, now_);
        }
    }

    template<class F>
    static bool majority(const std::vector<DaemonId> &members, F &&holds)
    {
        return 2 * std::count_if(members.begin(), members.end(), holds) > static_cast<std::ptrdiff_t>(members.size());
    }

    void fileSomewhere()
    {
        after(uniform(2), [this] { fileSomewhere(); });
        Node &node = anyNode();
        if (!node.alive || node.pausedUntil > now_) {
            return;
        }
        const std::uint64_t held = node.tracker->head();
        storeCall(
            node, [this, held] { return storeHead_ == held ? ++storeHead_ : 0; },
            [this, &node](std::uint64_t number, Instant) {
                if (number != 0) {
                    push(node, number);
                }
            });
    }

    // Pushes to all daemons now and once a second, until the filer no longer counts acknowledgements.
    void push(Node &node, std::uint64_t number)
    {
        node.tracker->applyHead(number, now_);
        pushRound(node, std::make_shared<Filing>(Filing{number, now_, {node.id}}));
    }

    void pushRound(Node &node, const std::shared_ptr<Filing> &filing)
    {
        if (now_ - filing->pushedAt > absl::Seconds(5)) {
            return;
        }
        for (const auto &other : nodes_) {
            exchange(node, *other, filing->number, [this, &node, filing, id = other->id](const Reply &reply) {
                if (reply.attestation.head >= filing->number) {
                    filing->holders.insert(id);
                }
                const auto holds = [&](const DaemonId &member) { return filing->holders.contains(member); };
                const MemberView &view = node.view;
                if (now_ - filing->pushedAt <= absl::Seconds(5) && majority(view.members, holds)
                    && (view.previousMembers.empty() || majority(view.previousMembers, holds))) {
                    acceptedAt_.emplace(filing->number, now_);
                }
            });
        }
        runIn(node, 1, [this, &node, filing] { pushRound(node, filing); });
    }

    // Adds or removes one daemon, if the last change is in effect. The head is read in the same call.
    void changeMembers()
    {
        Node &writer = anyNode();
        if (!writer.alive || writer.view.members.empty() || !writer.view.previousMembers.empty()) {
            return;
        }
        MemberView next{writer.view.version + 1, writer.view.members, writer.view.members};
        const Node &subject = anyNode();
        if (std::erase(next.members, subject.id) == 0) {
            next.members.push_back(subject.id);
        }
        if (next.members.size() < 3 || (next.members.size() > writer.view.members.size() && !subject.alive)) {
            return;
        }
        storeCall(
            writer,
            [this, next] {
                if (storeView_.version + 1 == next.version) {
                    storeView_ = next;
                }
                return storeHead_;
            },
            [this, &writer](std::uint64_t head, Instant) { learn(writer, head, storeView_); });
    }

    void fault()
    {
        after(uniform(faultInterval_), [this] { fault(); });
        Node &node = anyNode();
        switch (std::discrete_distribution<>(faultWeights_.begin(), faultWeights_.end())(random_)) {
        case 0:
            setStore(chance(0.4), chance(0.2) ? 40 : 1);
            break;
        case 1:
            for (const auto &other : nodes_) {
                other->group = chance(0.5) ? 1 : 0;
            }
            break;
        case 2:
            splitOff(0);
            break;
        case 3:
            node.pausedUntil = now_ + absl::Seconds(uniform(20));
            break;
        case 4:
            if (node.alive) {
                restart(node);
            }
            break;
        case 5:
            if (nodes_.size() < 9 && node.alive) {
                node.alive = false;
                startDaemon();
            }
            break;
        default:
            changeMembers();
        }
    }

    void check()
    {
        after(0.1, [this] { check(); });
        std::uint64_t required = 0;
        for (const auto &[number, at] : acceptedAt_) {
            required = now_ - at > allowedLag ? std::max(required, number) : required;
        }
        for (const auto &node : nodes_) {
            if (node->alive && node->pausedUntil <= now_) {
                const Serving serving = node->tracker->decide(now_);
                ++served[serving];
                violations += serving != Serving::Isolated && node->tracker->head() < required ? 1 : 0;
            }
        }
    }

    Options options_;
    std::mt19937_64 random_;
    Instant now_;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<Node>> nodes_; ///< The first two are the relays.
    std::array<double, 7> faultWeights_{};
    double faultInterval_ = 0; ///< Seconds between faults, at most.
    bool storeUp_ = true;
    double storeDelay_ = 1;
    std::uint64_t storeHead_ = 0;
    MemberView storeView_;
    std::map<std::uint64_t, Instant> acceptedAt_;
};

} // namespace currantlug::config

#endif
