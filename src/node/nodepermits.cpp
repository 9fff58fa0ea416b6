// Permits for requests to replicas that limit their request rate: requested from peers, and issued to them.
#include "node/node.h"

#include "telemetry/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace currantlug::node {

using telemetry::Level;

namespace {

constexpr absl::Duration PermitTimeout = absl::Milliseconds(250); // Several round trips between regions.
// After a request for permits that failed. The issuer may have ended; its peers notice within seconds.
constexpr absl::Duration PermitRetryDelay = absl::Milliseconds(300);
// Items and background calls look for permits several times a second; a batch covers the time between.
constexpr absl::Duration PermitBatchTime = absl::Milliseconds(300);

Json toJson(const serving::PermitRequest &request)
{
    Json json{{"replica", {request.replica.id, request.replica.address, request.replica.startedAtMs}},
              {"zone", request.availabilityZone},
              {"limit", request.requestsPerSecond},
              {"count", request.count},
              {"wait_ms", absl::ToDoubleMilliseconds(request.maxWait)}};
    if (request.statedLimit) {
        json["stated"] = *request.statedLimit;
        json["stated_ms_ago"] = absl::ToInt64Milliseconds(net::loopNow() - request.limitStatedAt);
    }
    if (request.coldLimit) {
        json["cold"] = *request.coldLimit;
    }
    return json;
}

std::optional<serving::PermitRequest> parsePermitRequest(const Json &body)
{
    const Json replica = fieldOrNull(body, "replica");
    if (!replica.is_array() || replica.size() != 3 || !replica[0].is_string() || !replica[1].is_string()
        || !replica[2].is_number_integer() || !fieldOrNull(body, "limit").is_number()) {
        return std::nullopt;
    }
    serving::PermitRequest request;
    request.replica = {replica[0].get<std::string>(), replica[1].get<std::string>(), replica[2].get<std::int64_t>()};
    request.availabilityZone = fieldOr<std::string>(body, "zone", "");
    request.requestsPerSecond = fieldOr<double>(body, "limit", 0);
    if (const Json cold = fieldOrNull(body, "cold"); cold.is_number()) {
        request.coldLimit = cold.get<double>();
    }
    if (const Json stated = fieldOrNull(body, "stated"); stated.is_number()) {
        request.statedLimit = stated.get<double>();
    } else if (!request.coldLimit) {
        request.statedLimit = request.requestsPerSecond; // Asked by a node of an earlier build.
    }
    request.limitStatedAt = net::loopNow() - absl::Milliseconds(fieldOr<std::int64_t>(body, "stated_ms_ago", 0));
    request.count = fieldOr<int>(body, "count", 1);
    request.maxWait = absl::Milliseconds(fieldOr<double>(body, "wait_ms", 0));
    return request;
}

Json toJson(const serving::PermitReply &reply)
{
    Json delays = Json::array();
    for (const absl::Duration delay : reply.delays) {
        delays.push_back(absl::ToDoubleMilliseconds(delay));
    }
    return {{"delays_ms", std::move(delays)}, {"next_ms", absl::ToDoubleMilliseconds(reply.nextIn)}};
}

/// Nothing if the peer doesn't issue permits of the replica.
std::optional<serving::PermitReply> parsePermitReply(const Json &body)
{
    const Json delays = fieldOrNull(body, "delays_ms");
    if (!delays.is_array()) {
        return std::nullopt;
    }
    serving::PermitReply reply;
    for (const Json &delay : delays) {
        if (delay.is_number()) {
            reply.delays.push_back(absl::Milliseconds(delay.get<double>()));
        }
    }
    reply.nextIn = absl::Milliseconds(fieldOr<double>(body, "next_ms", 0));
    return reply;
}

} // namespace

std::string Node::permitIssuer(const std::string &replica, const std::string &availabilityZone) const
{
    std::vector<serving::PermitIssuer> candidates{{settings_.name, settings_.availabilityZone}};
    for (const NodeInfo &node : mesh_.contacts()) {
        if (!node.stopping) {
            candidates.push_back({node.name, node.availabilityZone});
        }
    }
    return serving::choosePermitIssuer(replica, availabilityZone, candidates);
}

serving::PermitReply Node::issuePermits(const serving::PermitRequest &request)
{
    serving::PermitRequest current = request;
    if (request.statedLimit) {
        onReplicaLimit({request.replica, request.statedLimit, request.limitStatedAt}, StatementSource::Peer);
    }
    const Instant now = net::loopNow();
    const serving::Replica *replica = replicas_.find(request.replica);
    if (replica != nullptr && replica->requestLimit) {
        current.requestsPerSecond = *replica->requestLimit;
    }
    if (replica != nullptr && replica->isCold(now) && !current.coldLimit) {
        current.coldLimit = replica->coldLimit;
    }
    if (current.coldLimit) {
        // Nodes out of contact with this one may have another issuer: each group issues its share of the rate.
        const serving::ColdSchedule schedule =
            serving::coldSchedule(*current.coldLimit, settings_.coldOver, settings_.coldSlack);
        current.requestsPerSecond =
            std::min(current.requestsPerSecond, schedule.requestsPerSecond) * mesh_.contactShare();
        current.burstTime = schedule.burstTime;
    }
    permitLedger_.recordMembershipChange(mesh_.membershipChangedAt());
    serving::PermitReply reply = permitLedger_.issue(current, now);
    metrics_.recordPermits(reply.delays.size());
    return reply;
}

Json Node::answerPermits(const Json &body)
{
    const auto request = parsePermitRequest(body);
    if (!request || permitIssuer(request->replica.id, request->availabilityZone) != settings_.name) {
        telemetry::log(Level::Info, "permits", "not_issued",
                       {{"replica", request ? request->replica.id : std::string()}, {"readable", request.has_value()}});
        return Json::object();
    }
    return toJson(issuePermits(*request));
}

void Node::requestPermits(const serving::PermitRequest &request, std::function<void(const serving::PermitReply &)> done)
{
    const std::string issuer = permitIssuer(request.replica.id, request.availabilityZone);
    if (issuer == settings_.name) {
        done(issuePermits(request));
        return;
    }
    mesh_.call(issuer, PermitsMethod, toJson(request), PermitTimeout,
               [issuer, replica = request.replica.id, done = std::move(done)](const absl::StatusOr<Json> &answer) {
                   const auto reply = answer.ok() ? parsePermitReply(*answer) : std::nullopt;
                   if (!reply) {
                       telemetry::log(Level::Warning, "permits", "request_failed",
                                      {{"replica", replica},
                                       {"issuer", issuer},
                                       {"message", answer.ok() ? "" : std::string(answer.status().message())}});
                       done({{}, PermitRetryDelay});
                       return;
                   }
                   done(*reply);
               });
}

void Node::requestWantedPermits()
{
    const Instant now = net::loopNow();
    for (const serving::Replica *replica : replicas_.takePermitsWanted(now)) {
        const int count =
            std::max(1, static_cast<int>(std::ceil(*replica->limitAt(now) * absl::ToDoubleSeconds(PermitBatchTime))));
        const serving::PermitRequest request = serving::permitRequestFor(*replica, count, PermitBatchTime, now);
        requestPermits(request, [this, incarnation = request.replica](const serving::PermitReply &reply) {
            if (serving::Replica *known = replicas_.find(incarnation)) {
                replicas_.addPermits(*known, reply, net::loopNow());
                jobs_->dispatchItems();
                // Items that still wait take what is left of a burst without waiting for the next tick.
                boost::asio::post(loop_, [this] { requestWantedPermits(); });
            }
        });
    }
}

} // namespace currantlug::node
