// Wiring of the components of a node, handling of requests and calls of peers, and periodic tasks.
#include "node/node.h"

#include "core/hash.h"
#include "objects/meteredport.h"
#include "telemetry/log.h"
#include "telemetry/processusage.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace currantlug::node {

using objects::ObjectChange;
using telemetry::Level;

namespace {

constexpr absl::Duration FastTickPeriod = absl::Milliseconds(100);
constexpr absl::Duration SlowTickPeriod = absl::Milliseconds(1000);
// A process without a fast tick for this time was paused. A new configuration must be in force within 2.5 s; the rest
// is for the comparison.
constexpr absl::Duration PauseLimit = absl::Milliseconds(2000);
constexpr absl::Duration VerifyTimeout = absl::Milliseconds(500); // A few round trips between regions.
constexpr absl::Duration VerifyRetryDelay = absl::Milliseconds(100);
// Delays after the start of the node at which it looks for orphaned jobs. Contact to the peers is established during
// this time, and the owner of a job counts as lost only once it was found to be restarted, refusing connections or
// silent.
constexpr absl::Duration StartupScanDelays[] = {absl::Milliseconds(400), absl::Milliseconds(1000),
                                                absl::Milliseconds(2600), absl::Milliseconds(5000)};
constexpr absl::Duration CrashTimeout = absl::Milliseconds(400); // Probes tell it again a second later.
constexpr absl::Duration DefaultAddressTtl = absl::Seconds(1);
constexpr const char *HandOverMethod = "usage/handover";
constexpr absl::Duration HandOverTimeout = absl::Milliseconds(300); // A round trip between regions takes 24 ms.
constexpr std::size_t MinAddresses = 2; // A client needs an alternative if one address fails.
constexpr std::size_t MaxAddresses = 64;
constexpr absl::Duration RefusalRetryAfter = absl::Milliseconds(300); // Roughly a connection set-up and a store call.
// The removal of a replica must be noticed within 2.5 s. A longer pause means fewer calls, each of which costs
// money.
constexpr absl::Duration ReplicaBatchDelay = absl::Milliseconds(1200);

// New nodes make themselves known by their probes; the registrations only make sure that none stays unknown.
constexpr absl::Duration NodePollPeriod = absl::Seconds(20);

objects::MirrorSettings boundedMirrorSettings(const NodeSettings &settings)
{
    objects::MirrorSettings mirror;
    mirror.watchWait = boundedWatchWait(settings.viewAgeLimit());
    return mirror;
}

objects::MirrorSettings replicaMirrorSettings(const NodeSettings &settings)
{
    objects::MirrorSettings mirror = boundedMirrorSettings(settings);
    mirror.batchDelay = ReplicaBatchDelay;
    return mirror;
}

objects::MirrorSettings evacuationMirrorSettings(const NodeSettings &settings)
{
    objects::MirrorSettings mirror;
    mirror.watchWait = boundedWatchWait(settings.evacuateTime.value_or(absl::InfiniteDuration()));
    return mirror;
}

serving::ReplicaTableSettings tableSettings(const NodeSettings &settings)
{
    serving::ReplicaTableSettings table;
    table.availabilityZone = settings.availabilityZone;
    table.region = settings.region;
    table.regionOfZone = settings.regionOfZone;
    return table;
}

objects::MirrorSettings nodeMirrorSettings()
{
    objects::MirrorSettings settings;
    settings.pollPeriod = NodePollPeriod;
    return settings;
}

lease::LeaseSettings leaseSettings(const NodeSettings &settings)
{
    // Two different holders must not act within one lease TTL. A holder therefore stops acting well before the TTL has
    // passed, and a successor waits for longer than the TTL after the last renewal that it observed.
    lease::LeaseSettings lease;
    lease.duration = settings.leaseTtl * 0.8;
    lease.renewEvery = settings.leaseTtl * 0.3;
    lease.margin = settings.leaseTtl * 0.2;
    lease.sendBound = settings.leaseTtl * 0.2;
    lease.tcpUserTimeout = absl::ZeroDuration();
    lease.idNamesMachine = true;
    return lease;
}

/// Adds to the ports of the binding what the node observes of their calls.
PlatformBinding observed(PlatformBinding binding, telemetry::MetricsRegistry &metrics,
                         const serving::StatementHandler &onStatement,
                         std::function<void(const serving::ReplicaIncarnation &)> onLeaving)
{
    binding.store = objects::meteredPort(std::move(binding.store), metrics);
    binding.replicas = serving::observedPort(binding.replicas, onStatement);
    if (binding.duties.report) {
        binding.duties.report = [report = std::move(binding.duties.report), onLeaving = std::move(onLeaving)](
                                    const serving::Replica &replica,
                                    std::function<void(std::optional<control::ReplicaReport>)> done) {
            report(replica,
                   [onLeaving, incarnation = serving::incarnationOf(replica.entry),
                    done = std::move(done)](std::optional<control::ReplicaReport> answer) {
                       if (answer && answer->leaving) {
                           onLeaving(incarnation);
                       }
                       done(std::move(answer));
                   });
        };
    }
    return binding;
}

} // namespace

Node::Node(net::Loop &loop, net::HttpClient &client, NodeSettings settings, PlatformBinding binding)
    : loop_(loop)
    , client_(client)
    , settings_(std::move(settings))
    , binding_(observed(
          std::move(binding), metrics_.registry(),
          [this](const serving::ReplicaStatement &statement) { onReplicaStatement(statement); },
          [this](const serving::ReplicaIncarnation &replica) { onReplicaLeaving(replica, StatementSource::Answer); }))
    , incarnation_(randomHex(6))
    , replicas_(tableSettings(settings_))
    , crashSuspects_(serving::CrashSuspectsSettings{})
    , permitLedger_(serving::PermitLedgerSettings{})
    , counts_(settings_.usageWindow)
    , mesh_(loop, client, {}, [this] { return info(); })
    , relayedStore_(binding_.store, mesh_, [this] { return storeReached(); })
    , requests_(loop, replicas_, crashSuspects_, binding_.replicas,
                [this](const serving::PermitRequest &request, std::function<void(const serving::PermitReply &)> done) {
                    requestPermits(request, std::move(done));
                },
                {},
                {[this](const std::string &workspace) { counts_.add(workspace, absl::Now()); },
                 [this](serving::RouteKind kind, std::string_view outcome, int status, absl::Duration elapsed) {
                     metrics_.recordRequest(kind, outcome, status, elapsed);
                 },
                 [this](const serving::SuspectStatement &statement) { tellCrash(statement); }})
    , configMirror_(loop, binding_.store, binding_.configKind, boundedMirrorSettings(settings_),
                    [this](const ObjectChange &change) { onConfigObject(change); })
    , replicaMirror_(loop, binding_.store, binding_.replicaKind, replicaMirrorSettings(settings_),
                     [this](const ObjectChange &change) { onReplicaObject(change, registryUnstable()); })
    , nodeMirror_(loop, binding_.store, std::string(NodeKind), nodeMirrorSettings(),
                  [this](const ObjectChange &change) { onNodeObject(change); })
    , evacuationMirror_(loop, binding_.store, binding_.evacuationKind, evacuationMirrorSettings(settings_),
                        [this](const ObjectChange &change) { onEvacuationObject(change); })
    , replicaJournal_(incarnation_)
    , replicaFollower_(mesh_, {},
                       {[this](const ReplicaDelta &delta) { onReplicaDelta(delta); },
                        [this](const std::string &source, std::uint64_t revision) {
                            if (revision > configRevision()) {
                                fetchSnapshot(source);
                            }
                        },
                        [this](const serving::EvacuationView &view) { mergeEvacuations(view, "source"); }})
    , lastTickAt_(net::loopNow())
    , startedAt_(net::loopNow())
    , stallDetector_({FastTickPeriod})
{
    const auto config = [this] { return usableConfig(); };
    const jobs::PeerPort peers{
        [this](const std::string &node, const std::string &method, const Json &body, absl::Duration timeout,
               jobs::PeerPort::Callback done) { mesh_.call(node, method, body, timeout, std::move(done)); },
        [this] { return mesh_.live(); },
        [this](const std::string &node, const std::string &incarnation) { return mesh_.isAlive(node, incarnation); },
        [this](const std::string &node, const std::string &incarnation) { return mesh_.isLost(node, incarnation); },
        [this] { return mesh_.allInContact(); },
        [this] { return mesh_.reachable(); },
        [this] { return mesh_.textHolders(); },
        [this] { return mesh_.jobHosts(); }};
    jobs::JobSettings jobSettings;
    jobSettings.processorShare = settings_.processorShare;
    jobSettings.region = settings_.region;
    jobSettings.retention.afterSubmission = settings_.jobRetention;
    jobs_ = std::make_unique<jobs::JobService>(jobs::JobContext{
        loop, replicas_, binding_.replicas, relayedStore_.port(), peers, config,
        [this]() -> const std::map<std::string, std::string> & {
            return controller_->leading() ? controller_->modelByReplica() : leaderPlan_;
        },
        settings_.name, incarnation_, jobSettings,
        [this](jobs::RewardOutcome outcome, absl::Duration elapsed) { metrics_.recordReward(outcome, elapsed); },
        [this](const serving::Replica &replica, jobs::JobContext::VersionsCallback done) {
            binding_.duties.report(replica,
                                   [done = std::move(done)](const std::optional<control::ReplicaReport> &report) {
                                       if (report) {
                                           done(report->weightVersions);
                                       }
                                   });
        },
        binding_.memory, [this](const serving::RegionSet &regions) { return relayedStore_.port(regions); }});
    control::ControllerContext context{
        loop,
        replicas_,
        relayedStore_.port(),
        peers,
        binding_.duties,
        binding_.controlKinds,
        config,
        [this] {
            const auto contacts = mesh_.contacts();
            return std::any_of(contacts.begin(), contacts.end(), [](const NodeInfo &node) { return node.leading; });
        },
        [this] {
            // The leader asks all nodes and replicas, so that nodes with more processor time come first.
            const auto contacts = mesh_.contacts();
            return static_cast<int>(std::count_if(contacts.begin(), contacts.end(), [this](const NodeInfo &node) {
                const bool precedes = node.processorShare == settings_.processorShare
                    ? node.name < settings_.name
                    : node.processorShare > settings_.processorShare;
                return precedes && !node.leading && !node.stopping && node.storeReached;
            }));
        },
        [this] { return storeReached(); },
        [this] {
            std::map<std::string, scheduling::DemandByModel> reports{{settings_.name, jobs_->demand()}};
            for (const NodeInfo &node : mesh_.contacts()) {
                reports[node.name] = node.modelDemand;
            }
            return reports;
        },
        settings_.name,
        settings_.name + "@" + settings_.controlAddress,
        counts_,
        leaseSettings(settings_),
        {}};
    context.settings.reacquireDelay = settings_.leaseTtl * 1.5;
    context.settings.mirror = boundedMirrorSettings(settings_);
    controller_ = std::make_unique<control::Controller>(std::move(context));
    mesh_.setHandler([this](const std::string &method, const Json &body, std::function<void(Json)> reply) {
        return peerCall(method, body, std::move(reply));
    });
    mesh_.onLost([this](const std::string &node, bool heldTexts) { jobs_->onNodeLost(node, heldTexts); });
    mesh_.setLeaderState([this]() -> Json {
        return controller_->leading() ? Json{{"plan", controller_->modelByReplica()}} : Json();
    });
    mesh_.onLeaderState([this](const Json &state) {
        if (state.is_object() && state.contains("plan") && state["plan"].is_object()) {
            leaderPlan_.clear();
            for (const auto &[replica, model] : state["plan"].items()) {
                leaderPlan_[replica] = model.is_string() ? model.get<std::string>() : std::string();
            }
        }
    });
}

void Node::start()
{
    telemetry::log(Level::Info, "node", "started",
                   {{"node", settings_.name},
                    {"incarnation", incarnation_},
                    {"zone", settings_.availabilityZone},
                    {"front", settings_.frontAddress}});
    addSeeds(settings_.seeds);
    configMirror_.start();
    replicaMirror_.start();
    if (followsEvacuations()) {
        evacuationMirror_.start();
    }
    registerNode();
    mesh_.start();
    net::runEvery(loop_, FastTickPeriod, [this] { fastTick(); });
    net::runEvery(loop_, SlowTickPeriod, [this] { slowTick(); });
    for (const absl::Duration delay : StartupScanDelays) {
        net::runAfter(loop_, delay, [this] { jobs_->scanAfterStart(); });
    }
}

void Node::stop()
{
    stopping_ = true;
    jobs_->releaseJobs();
    controller_->release();
}

void Node::handOverCounts(std::function<void()> done)
{
    const Json windows = control::toJson(counts_.all());
    const std::vector<std::string> live = mesh_.live();
    if (windows.empty() || live.empty()) {
        done();
        return;
    }
    mesh_.call(live.front(), HandOverMethod, windows, HandOverTimeout,
               [node = live.front(), done = std::move(done)](const absl::StatusOr<Json> &reply) {
                   telemetry::log(reply.ok() ? Level::Info : Level::Warning, "usage", "handed_over",
                                  {{"node", node}, {"answered", reply.ok()}});
                   done();
               });
}

void Node::addSeeds(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        mesh_.addSeed(seed);
    }
}

bool Node::storeReached() const
{
    return configMirror_.current();
}

bool Node::configCurrent() const
{
    return storeReached() || !mesh_.peerWithStore().empty();
}

bool Node::ready() const
{
    return !stopping_ && config_.has_value() && evacuationsKnown();
}

NodeInfo Node::info() const
{
    NodeInfo info;
    info.name = settings_.name;
    info.incarnation = incarnation_;
    info.control = settings_.controlAddress;
    info.front = settings_.frontAddress;
    info.availabilityZone = settings_.availabilityZone;
    info.region = settings_.region;
    info.stopping = stopping_;
    info.ready = ready();
    info.storeReached = storeReached();
    info.leading = controller_ != nullptr && controller_->leading();
    info.configRevision = configRevision();
    info.processorShare = settings_.processorShare;
    info.holdsTexts = jobs_ != nullptr && jobs_->holdsTexts();
    info.leavingReplicas = replicas_.leavingReplicas();
    info.replicaLimits = replicas_.limitStatements(net::loopNow());
    info.crashSuspects = crashSuspects_.statements();
    if (followsEvacuations()) {
        info.evacuations = evacuations_.view();
    }
    if (jobs_ != nullptr) {
        info.modelDemand = jobs_->demand();
    }
    return info;
}

absl::Duration Node::addressTtl() const
{
    return std::min(DefaultAddressTtl, settings_.maxAddressTtl);
}

net::ServerLimits Node::limits() const
{
    return config_ ? config_->limits : net::ServerLimits{};
}

std::vector<std::string> Node::addressesFor(const std::string &host, const std::string &region,
                                            const std::string &availabilityZone) const
{
    const serving::RegionSet homes = config_ ? config_->homesOfHost(host) : serving::RegionSet();
    std::vector<NodeInfo> nodes = mesh_.contacts();
    nodes.push_back(info());
    const std::set<std::string> &evacuated = replicas_.evacuatedZones();
    const auto isElsewhere = [&evacuated](const NodeInfo &node) {
        return node.ready && !node.stopping && !node.front.empty() && !evacuated.contains(node.availabilityZone);
    };
    if (!evacuated.empty() && std::any_of(nodes.begin(), nodes.end(), isElsewhere)) {
        std::erase_if(nodes, [&](const NodeInfo &node) { return !isElsewhere(node); });
    }
    std::vector<std::string> addresses;
    const auto addMatching = [&](const auto &matches) {
        for (const NodeInfo &node : nodes) {
            if (node.ready && !node.stopping && !node.front.empty() && matches(node)
                && std::find(addresses.begin(), addresses.end(), node.front) == addresses.end()
                && addresses.size() < MaxAddresses) {
                addresses.push_back(node.front);
            }
        }
        return addresses.size() >= MinAddresses;
    };
    if (!addMatching([&](const NodeInfo &node) { return node.availabilityZone == availabilityZone; })
        && !addMatching([&](const NodeInfo &node) { return node.region == region; })
        && !addMatching([&](const NodeInfo &node) { return homes.allows(node.region); })) {
        addMatching([](const NodeInfo &) { return true; });
    }
    return addresses;
}

// Requests

void Node::refuseTemporarily(const serving::InboundRequest &request, const serving::ResponseSink &sink,
                             std::string_view reason) const
{
    telemetry::log(Level::Warning, "request", "refused", {telemetry::requestId(request.id), {"reason", reason}});
    serving::rejectRequest(sink, 503, reason, RefusalRetryAfter);
}

void Node::deny(const serving::InboundRequest &request, const serving::ResponseSink &sink, Denial denial) const
{
    const bool current = configCurrent();
    telemetry::log(Level::Warning, "request", nameOf(denial),
                   {telemetry::requestId(request.id),
                    {"host", request.host},
                    {"config_version", config_->version},
                    {"config_current", current},
                    {"config_age_ms", absl::ToInt64Milliseconds(configMirror_.age(net::loopNow()))}});
    if (!current) {
        refuseTemporarily(request, sink, "the configuration may be out of date");
    } else if (denial == Denial::UnknownKey) {
        serving::rejectRequest(sink, 401, "unknown key", absl::ZeroDuration());
    } else {
        serving::rejectRequest(sink, 404, "no route", absl::ZeroDuration());
    }
}

std::optional<std::string> Node::authorizeJobCall(const serving::InboundRequest &request,
                                                  const serving::ResponseSink &sink) const
{
    if (usableConfig() == nullptr) {
        refuseTemporarily(request, sink, config_ ? "the process was paused" : "no configuration yet");
        return std::nullopt;
    }
    if (config_->workspaces.empty()) {
        return std::string();
    }
    const serving::Workspace *workspace = config_->findWorkspaceByKey(request.key);
    if (workspace == nullptr) {
        deny(request, sink, Denial::UnknownKey);
        return std::nullopt;
    }
    return workspace->name;
}

void Node::handleRequest(serving::InboundRequest request, serving::ResponseSink sink)
{
    if (!config_) {
        refuseTemporarily(request, sink, "no configuration yet");
        return;
    }
    if (!evacuationsKnown()) {
        refuseTemporarily(request, sink, "the evacuated zones aren't known yet");
        return;
    }
    checkPause();
    if (verifying_) {
        refuseTemporarily(request, sink, "the process was paused");
        return;
    }
    const serving::Route *route = config_->findRoute(request.host, net::pathOf(request.target));
    if (route == nullptr || route->services.empty()) {
        deny(request, sink, Denial::NoRoute);
        return;
    }
    std::string workspace;
    if (!route->authExempt) {
        const auto authorized = authorizeJobCall(request, sink);
        if (!authorized) {
            return;
        }
        workspace = *authorized;
    } else if (const serving::Workspace *known = config_->findWorkspaceByKey(request.key)) {
        workspace = known->name;
    }
    if (request.id.empty()) {
        serving::rejectRequest(sink, 400, "the request id is missing", absl::ZeroDuration());
        return;
    }
    if (route->kind != serving::RouteKind::Rollout) {
        requests_.run(std::move(request), *route, workspace, config_->allowedRegions(*route, workspace),
                      std::move(sink));
        return;
    }
    if (!configCurrent()) {
        refuseTemporarily(request, sink, "the object store can't be reached");
        return;
    }
    if (config_->allowedRegions(*route, workspace).isNowhere()) {
        refuseTemporarily(request, sink, "no region is allowed by both the route and the workspace");
        return;
    }
    const std::string jobId = request.id;
    auto spec = binding_.parseJob(std::move(request), workspace);
    if (!spec.ok()) {
        telemetry::log(Level::Warning, "job", "unreadable",
                       {telemetry::requestId(jobId), {"message", std::string(spec.status().message())}});
        serving::rejectRequest(sink, 400, std::string(spec.status().message()), absl::ZeroDuration());
        return;
    }
    for (const jobs::ItemSpec &item : spec->items) {
        if (!config_->isRolloutPath(spec->host, net::pathOf(item.path))) {
            telemetry::log(Level::Warning, "job", "foreign_path",
                           {telemetry::requestId(jobId), {"item", item.id}, {"path", item.path}});
            serving::rejectRequest(sink, 400, "the path of item " + item.id + " is on no route for jobs",
                                   absl::ZeroDuration());
            return;
        }
    }
    jobs_->submit(*std::move(spec), [sink = std::move(sink)](jobs::SubmitOutcome outcome) {
        switch (outcome) {
        case jobs::SubmitOutcome::Accepted:
            sink.respond(202, {}, "");
            return;
        case jobs::SubmitOutcome::Refused:
            serving::rejectRequest(sink, 503, "not accepted", RefusalRetryAfter);
            return;
        case jobs::SubmitOutcome::Unknown:
            serving::rejectRequest(sink, 502, "it is unknown whether the job was accepted", absl::ZeroDuration());
            return;
        }
    });
}

// Calls of peers

bool Node::peerCall(const std::string &method, const Json &body, std::function<void(Json)> reply)
{
    if (method == control::UsageReporter::CountsMethod) {
        reply(control::UsageReporter::answerCounts(counts_, body));
        return true;
    }
    if (method == HandOverMethod) {
        const auto windows = control::parseCountsByWindow(body);
        telemetry::log(windows ? Level::Info : Level::Warning, "usage", windows ? "taken_over" : "unreadable",
                       {{"windows", body.size()}});
        counts_.add(windows.value_or(control::CountsByWindow{}));
        reply({{"taken", windows.has_value()}});
        return true;
    }
    if (method == ReplicaFollower::Method) {
        // Only a node that watches is a source: a chain of followers would add up their delays.
        Json answer = ReplicaFollower::answer(replicaJournal_, body, replicaMirror_.current(), registryUnstable(),
                                              configRevision());
        if (followsEvacuations()) {
            answer["evacuations"] = toJson(evacuations_.view());
        }
        reply(std::move(answer));
        return true;
    }
    if (method == CrashMethod) {
        const auto statement = parseSuspectStatement(body);
        if (statement) {
            crashSuspects_.merge(*statement);
        }
        reply({{"merged", statement.has_value()}});
        return true;
    }
    if (method == PermitsMethod) {
        reply(answerPermits(body));
        return true;
    }
    if (method == "node/snapshot") {
        reply(snapshot(fieldOr<std::uint64_t>(body, "config", 0)));
        return true;
    }
    if (method == RelayedStore::Method) {
        return RelayedStore::serve(binding_.store, body, std::move(reply));
    }
    return jobs_->handlePeerCall(method, body, std::move(reply));
}

void Node::tellCrash(const serving::SuspectStatement &statement)
{
    const Json body = toJson(statement);
    for (const std::string &peer : mesh_.live()) {
        mesh_.call(peer, CrashMethod, body, CrashTimeout, [peer](const absl::StatusOr<Json> &answer) {
            if (!answer.ok()) {
                telemetry::log(Level::Info, "request", "crash_not_told",
                               {{"node", peer}, {"message", std::string(answer.status().message())}});
            }
        });
    }
}

Json Node::snapshot(std::uint64_t configRevision) const
{
    Json reply = Json::object();
    if (config_ && config_->revision > configRevision) {
        reply["config"] = encodeObject(configObject_);
    }
    if (replicasCurrent()) {
        Json replicas = Json::array();
        for (const auto &[id, object] : replicaJournal_.objects()) {
            replicas.push_back(encodeObject(object));
        }
        reply["replicas"] = std::move(replicas);
    }
    if (followsEvacuations()) {
        reply["evacuations"] = toJson(evacuations_.view());
    }
    return reply;
}

std::string Node::metrics()
{
    NodeStatus status;
    status.ready = ready();
    status.leading = controller_->leading();
    status.storeReached = storeReached();
    status.watchesReplicas = replicaMirror_.running();
    const Instant now = net::loopNow();
    status.viewAges = {{StoreView::Config, configMirror_.age(now)}, {StoreView::Replicas, replicaViewAge(now)}};
    status.configVersion = config_ ? config_->version : 0;
    status.nodesInContact = mesh_.contacts().size();
    status.evacuatedZones = replicas_.evacuatedZones().size();
    status.openJobs = jobs_->openJobCount();
    status.items = jobs_->itemCounts();
    status.connectionsOpened = client_.connectionsOpened();
    status.longestStall = stallDetector_.longest();
    status.modelDemand = jobs_->demand();
    status.replicaShares = controller_->replicaShares();
    status.plannedReplicas = controller_->plannedReplicas();
    if (scrapeHandler_) {
        scrapeHandler_(metrics_.registry());
    }
    return metrics_.exposition(status, replicas_, now);
}

// Periodic tasks

void Node::fastTick()
{
    checkPause();
    reportStall();
    const Instant now = net::loopNow();
    replicas_.expire(now);
    syncEvacuations();
    reportColdReplicas(now);
    replicaFollower_.poll(now);
    if (!stopping_) {
        controller_->poll();
    }
    requestWantedPermits();
    permitLedger_.expire(now);
    crashSuspects_.expire(now);
    jobs_->tick();
}

const serving::GatewayConfig *Node::usableConfig() const
{
    const bool usable = config_ && evacuationsKnown() && !verifying_ && net::loopNow() - lastTickAt_ <= PauseLimit;
    return usable ? &*config_ : nullptr;
}

void Node::reportStall()
{
    if (const auto stall = stallDetector_.onTick(net::loopNow(), telemetry::processorTime())) {
        telemetry::log(Level::Warning, "node", "stalled",
                       {{"delay_ms", absl::ToInt64Milliseconds(stall->delay)},
                        {"processor_ms", absl::ToInt64Milliseconds(stall->processorTime)}});
    }
}

void Node::checkPause()
{
    const Instant now = net::loopNow();
    const absl::Duration gap = now - std::exchange(lastTickAt_, now);
    if (gap <= PauseLimit || !config_) {
        return;
    }
    telemetry::log(Level::Warning, "node", "paused", {{"gap_ms", absl::ToInt64Milliseconds(gap)}});
    jobs_->onPaused();
    if (!std::exchange(verifying_, true)) {
        verifyConfig();
    }
}

void Node::verifyConfig()
{
    const auto finish = [this](std::string_view source) {
        if (std::exchange(verifying_, false)) {
            telemetry::log(Level::Info, "node", "config_verified",
                           {{"source", source}, {"version", config_ ? config_->version : 0}});
            jobs_->dispatchItems();
        }
    };
    const auto retryLater = [this] { net::runAfter(loop_, VerifyRetryDelay, [this] { verifyConfig(); }); };
    binding_.store.get(
        binding_.configKind, binding_.configName, [this, finish, retryLater](const objects::StoreReply &reply) {
            if (reply.outcome == objects::StoreOutcome::Done && !reply.changes.empty()) {
                applyConfig(reply.changes.front().object, "store");
                // A zone may have been evacuated during the pause.
                listEvacuations([finish, retryLater](bool listed) { listed ? finish("store") : retryLater(); });
                return;
            }
            const std::string peer = mesh_.peerWithStore();
            if (peer.empty()) {
                // No node can learn of a newer configuration: the one in force is as good as any.
                finish("none");
                return;
            }
            mesh_.call(peer, "node/snapshot", {{"config", config_->revision}}, VerifyTimeout,
                       [this, finish, retryLater](const absl::StatusOr<Json> &answer) {
                           if (answer.ok() && answer->is_object()) {
                               applySnapshot(*answer);
                               finish("node");
                           } else {
                               retryLater();
                           }
                       });
        });
}

void Node::slowTick()
{
    // A mirror that updateWatchPlan() starts is complete by the next tick, so no snapshot is needed for it.
    syncFromPeer();
    updateWatchPlan();
    for (const NodeInfo &peer : mesh_.contacts()) {
        for (const serving::ReplicaIncarnation &replica : peer.leavingReplicas) {
            onReplicaLeaving(replica, StatementSource::Peer);
        }
        for (const serving::LimitStatement &statement : peer.replicaLimits) {
            onReplicaLimit(statement, StatementSource::Peer);
        }
        for (const serving::SuspectStatement &statement : peer.crashSuspects) {
            crashSuspects_.merge(statement);
        }
        if (peer.evacuations && followsEvacuations()) {
            mergeEvacuations(*peer.evacuations, peer.name);
        }
    }
    replicaJournal_.expire(net::loopNow());
    unregisterLostNodes();
}

} // namespace currantlug::node
