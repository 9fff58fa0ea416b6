// Usage reports under random orders of lapses, changes of the lease holder, slow and lost calls, and killed nodes.
#include "control/usagereporter.h"

#include "fakes/inmemoryobjectstore.h"
#include "fakes/interceptedport.h"
#include "fakes/runloop.h"
#include "fakes/seeds.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <random>

using namespace currantlug;
using namespace currantlug::control;
using namespace currantlug::tests;

namespace {

constexpr absl::Duration WindowLength = absl::Milliseconds(60);

/// Nodes that share a store and a lease, which this class hands out. The random number generator decides all that
/// happens.
class ReportingNodes
{
public:
    ReportingNodes(net::Loop &loop, std::uint64_t seed)
        : seed(seed)
        , loop_(loop)
        , store_(loop)
        , random_(seed)
    {
        UsageReporterSettings settings;
        settings.gatherDelay = absl::Milliseconds(10);
        settings.gatherTimeout = absl::Milliseconds(15);
        settings.retryDelay = absl::Milliseconds(5);
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            Node &node = nodes_[index];
            node.reporter = std::make_unique<UsageReporter>(
                node.counts, interceptedPort(store_.port(), interceptor()), peersOf(index), reportFunction(),
                [this, index] {
                    return index == leader_ && !lapsed_ ? std::optional(LeaseHolder{"n", token_}) : std::nullopt;
                },
                settings);
        }
        startTerm();
        poll();
        disturb();
    }

    /// Ends all disturbance but the one that is under way.
    void calm() { calm_ = true; }
    std::size_t reportedWindows() const { return reports_.size(); }

    /// Describes the first window whose reports differ or count a request twice; empty if there is none.
    std::string fault() const
    {
        for (const auto &[window, reports] : reports_) {
            const auto [fewest, most] = std::minmax_element(reports.begin(), reports.end());
            if (*fewest != *most) {
                return "different counts for window " + std::to_string(window);
            }
            const auto begun = begun_.find(window);
            if (begun == begun_.end() || *most > begun->second) {
                return "too high a count for window " + std::to_string(window);
            }
        }
        return {};
    }

    const std::uint64_t seed;

private:
    struct Node
    {
        RequestCounts counts{WindowLength};
        std::unique_ptr<UsageReporter> reporter;
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
    absl::Duration delay(int atMostMs)
    {
        return absl::Milliseconds(std::uniform_int_distribution<int>(0, atMostMs)(random_));
    }

    /// A call is made and answered soon, made late, or made and answered late; its answer may be lost.
    Interceptor interceptor()
    {
        return [this](const std::string &, const std::string &, const StoreCall &call, objects::StoreCallback done) {
            const absl::Duration callAfter = delay(chance(0.2) ? 60 : 2);
            const absl::Duration replyAfter = delay(chance(0.2) ? 60 : 2);
            if (chance(0.2)) {
                net::runAfter(loop_, callAfter, [call] { call([](const objects::StoreReply &) {}); });
                net::runAfter(loop_, replyAfter, [done = std::move(done)] { done({}); });
                return;
            }
            net::runAfter(loop_, callAfter, [this, call, replyAfter, done = std::move(done)] {
                call([this, replyAfter, done](const objects::StoreReply &reply) {
                    net::runAfter(loop_, replyAfter, [done, reply] { done(reply); });
                });
            });
        };
    }

    jobs::PeerPort peersOf(std::size_t index)
    {
        jobs::PeerPort peers;
        peers.reachable = [index] {
            std::vector<std::string> names;
            for (std::size_t other = 0; other < NodeCount; ++other) {
                if (other != index) {
                    names.push_back(std::to_string(other));
                }
            }
            return names;
        };
        peers.call = [this](const std::string &name, const std::string &, const Json &body, absl::Duration,
                            jobs::PeerPort::Callback done) {
            const Json reply = UsageReporter::answerCounts(nodes_[std::stoul(name)].counts, body);
            const bool lost = chance(0.1);
            // Also later than the limit: the replies of one gather may come during the next one.
            net::runAfter(loop_, delay(chance(0.2) ? 50 : 3), [done = std::move(done), reply, lost] {
                done(lost ? absl::StatusOr<Json>(absl::UnavailableError("lost")) : reply);
            });
        };
        return peers;
    }

    UsageReporter::ReportFunction reportFunction()
    {
        return [this](std::uint64_t window, const WindowCounts &counts, const LeaseHolder &,
                      std::function<void(DutyReply)> done) {
            reports_[window].push_back(counts.at("w"));
            const DutyReply reply = chance(0.6) ? DutyReply::Done : DutyReply::Unknown;
            net::runAfter(loop_, delay(20), [done = std::move(done), reply] { done(reply); });
        };
    }

    void startTerm()
    {
        lapsed_ = false;
        nodes_[leader_].reporter->startTerm(token_);
    }

    void poll()
    {
        for (Node &node : nodes_) {
            if (chance(0.5)) {
                const std::uint64_t window = node.counts.windowAt(absl::Now());
                node.counts.add("w", window, 1);
                ++begun_[window];
            }
        }
        if (!lapsed_) {
            nodes_[leader_].reporter->poll(net::loopNow());
        }
        net::runAfter(loop_, absl::Milliseconds(2), [this] { poll(); });
    }

    void disturb()
    {
        if (calm_) {
            return;
        }
        if (chance(0.3)) {
            // A node is killed and is back with nothing counted.
            nodes_[std::uniform_int_distribution<std::size_t>(0, NodeCount - 1)(random_)].counts =
                RequestCounts(WindowLength);
        }
        lapsed_ = true;
        net::runAfter(loop_, delay(10), [this] {
            if (chance(0.3)) {
                leader_ = std::uniform_int_distribution<std::size_t>(0, NodeCount - 1)(random_);
                ++token_;
            }
            startTerm();
            net::runAfter(loop_, delay(60), [this] { disturb(); });
        });
    }

    static constexpr std::size_t NodeCount = 3;
    net::Loop &loop_;
    InMemoryObjectStore store_;
    std::mt19937_64 random_;
    std::array<Node, NodeCount> nodes_;
    std::size_t leader_ = 0;
    std::uint64_t token_ = 1;
    bool lapsed_ = false;
    bool calm_ = false;
    std::map<std::uint64_t, std::vector<std::uint64_t>> reports_; ///< Reported counts by window.
    std::map<std::uint64_t, std::uint64_t> begun_; ///< Requests that began, by window.
};

} // namespace

// Guards against two reports of one window with different counts, and against counts that include a node twice: replies
// that belong to an earlier term, gather or write come while the same window is reported anew.
TEST_CASE("a usage window has one count in any order of calls, replies and terms")
{
    net::Loop loop;
    std::vector<std::unique_ptr<ReportingNodes>> worlds;
    for (std::uint64_t seed = 1; seed <= fakes::seedCount(100); ++seed) {
        worlds.push_back(std::make_unique<ReportingNodes>(loop, seed));
    }
    runFor(loop, std::chrono::milliseconds(2500));
    for (const auto &world : worlds) {
        world->calm();
    }
    runFor(loop, std::chrono::milliseconds(500));
    std::size_t windows = 0;
    for (const auto &world : worlds) {
        CAPTURE(world->seed);
        CHECK(world->fault().empty());
        windows += world->reportedWindows();
    }
    CHECK(windows >= worlds.size() * 10);
}
