#include "standins/platformstandin.h"

#include "standins/objecttable.h"
#include "standins/standinserver.h"

#include <absl/strings/numbers.h>

#include <chrono>
#include <map>

namespace currantlug::standins {

namespace {

constexpr std::string_view ObjectsPath = "/v1/objects/";
constexpr std::int64_t MaxWatchMs = 60'000;
constexpr absl::Duration WatchSlice = absl::Milliseconds(200); ///< How often a waiting watch looks at its peer.

std::int64_t wallMs()
{
    return absl::ToUnixMillis(absl::Now());
}

std::uint64_t numberParam(const httplib::Request &request, const std::string &name)
{
    std::uint64_t value = 0;
    return absl::SimpleAtoi(request.get_param_value(name), &value) ? value : 0;
}

/// The version that If-Match or If-None-Match: * asks for.
std::optional<std::uint64_t> expectedVersion(const httplib::Request &request)
{
    if (request.get_header_value("If-None-Match") == "*") {
        return 0;
    }
    const std::string tag = request.get_header_value("If-Match");
    std::uint64_t version = 0;
    if (tag.size() > 2 && tag.front() == '"' && tag.back() == '"'
        && absl::SimpleAtoi(tag.substr(1, tag.size() - 2), &version) && version > 0) {
        return version;
    }
    return std::nullopt;
}

std::string senderOf(const httplib::Request &request)
{
    return request.has_header("X-Sender") ? request.get_header_value("X-Sender") : request.remote_addr;
}

} // namespace

struct PlatformStandin::State
{
    using Request = httplib::Request;
    using Response = httplib::Response;

    struct VmSnapshot
    {
        Instant since;
        Json vms;
    };

    explicit State(PlatformSettings given)
        : settings(given)
        , objects(given.watchHistory)
        , server([this](const Request &request, Response &response) { handle(request, response); })
    {
        vmHistory.push_back({Instant(-absl::InfiniteDuration()), Json::array()});
    }

    void handle(const Request &request, Response &response);
    void handleObject(const Request &request, Response &response);
    void getObject(const std::string &key, Response &response);
    void putObject(const Request &request, const std::string &key, Response &response);
    void deleteObject(const Request &request, const std::string &key, Response &response);
    void listObjects(const Request &request, Response &response);
    void watch(const Request &request, Response &response);
    void listVms(Response &response);
    void takeOrder(const Request &request, Response &response);
    void takeReport(const Request &request, Response &response);
    void change(const Request &request, Response &response);
    void setVms(const Json &vms);
    Json audit() const;

    mutable std::mutex mutex;
    std::condition_variable written; ///< Signalled on each write and on stop.
    PlatformSettings settings;
    ObjectTable objects;
    std::vector<VmSnapshot> vmHistory; ///< Ascending; never empty.
    std::map<std::string, std::uint64_t> highestToken; ///< By availability zone.
    std::map<std::string, std::uint64_t> calls;
    Json orders = Json::array();
    Json reports = Json::array();
    StandinServer server; ///< Last, so that its threads end before the state they use.
};

void PlatformStandin::State::handle(const Request &request, Response &response)
{
    const bool object = request.path.starts_with(ObjectsPath);
    if (request.path.starts_with("/v1/")) {
        const std::lock_guard lock(mutex);
        ++calls[request.method + " " + (object ? std::string(ObjectsPath) : request.path)];
    }
    const std::string route = request.method + " " + request.path;
    if (object) {
        handleObject(request, response);
    } else if (route == "GET /v1/objects") {
        listObjects(request, response);
    } else if (route == "GET /v1/watch") {
        watch(request, response);
    } else if (route == "GET /v1/vms") {
        listVms(response);
    } else if (route == "POST /v1/endpoint-orders") {
        takeOrder(request, response);
    } else if (route == "POST /v1/usage-reports") {
        takeReport(request, response);
    } else if (route == "POST /vms" || route == "POST /settings") {
        change(request, response);
    } else if (route == "GET /audit") {
        answerJson(response, audit());
    } else {
        answerError(response, 404, "not_found", "no such path");
    }
}

void PlatformStandin::State::handleObject(const Request &request, Response &response)
{
    const std::string key = request.path.substr(ObjectsPath.size());
    if (key.empty()) {
        answerError(response, 400, "invalid", "empty key");
    } else if (request.method == "GET") {
        getObject(key, response);
    } else if (request.method == "PUT") {
        putObject(request, key, response);
    } else if (request.method == "DELETE") {
        deleteObject(request, key, response);
    } else {
        answerError(response, 405, "method", "objects take GET, PUT and DELETE");
    }
}

void PlatformStandin::State::getObject(const std::string &key, Response &response)
{
    const std::lock_guard lock(mutex);
    const ObjectTable::Object *object = objects.find(key);
    if (object) {
        answerJson(response, objectJson(key, *object));
    } else {
        answerError(response, 404, "not_found", "no such object");
    }
}

void PlatformStandin::State::putObject(const Request &request, const std::string &key, Response &response)
{
    const std::optional<std::uint64_t> expected = expectedVersion(request);
    if (!expected) {
        answerError(response, 428, "precondition", "If-Match or If-None-Match: * is required");
        return;
    }
    const std::optional<Json> body = parseJson(request.body);
    if (!body || !body->is_object() || !body->contains("value") || !(*body)["value"].is_string()) {
        answerError(response, 400, "invalid", "expected an object with a string value");
        return;
    }
    std::string value = (*body)["value"].get<std::string>();
    const std::lock_guard lock(mutex);
    if (value.size() > settings.maxValueBytes) {
        answerError(response, 413, "too_large", "value above the limit");
    } else if (objects.put(key, *expected, std::move(value))) {
        written.notify_all();
        answerJson(response, objectJson(key, *objects.find(key)));
    } else {
        answerError(response, 412, "mismatch", "version mismatch");
    }
}

void PlatformStandin::State::deleteObject(const Request &request, const std::string &key, Response &response)
{
    const std::optional<std::uint64_t> expected = expectedVersion(request);
    if (!expected || *expected == 0) {
        answerError(response, 428, "precondition", "If-Match is required");
        return;
    }
    const std::lock_guard lock(mutex);
    if (objects.remove(key, *expected)) {
        written.notify_all();
        answerJson(response, {{"key", key}, {"version", objects.revision()}, {"value", ""}});
    } else {
        answerError(response, 412, "mismatch", "version mismatch");
    }
}

void PlatformStandin::State::listObjects(const Request &request, Response &response)
{
    const std::lock_guard lock(mutex);
    answerJson(response,
               {{"revision", objects.revision()}, {"objects", objects.list(request.get_param_value("prefix"))}});
}

void PlatformStandin::State::watch(const Request &request, Response &response)
{
    const std::string prefix = request.get_param_value("prefix");
    const std::uint64_t after = numberParam(request, "after");
    const std::int64_t waitMs =
        std::min<std::int64_t>(static_cast<std::int64_t>(numberParam(request, "wait_ms")), MaxWatchMs);
    const Instant end = monotonicNow() + absl::Milliseconds(waitMs);
    std::unique_lock lock(mutex);
    for (;;) {
        if (!objects.knows(after)) {
            answerError(response, 410, "compacted", "changes after this revision are no longer known");
            return;
        }
        Json events = objects.eventsAfter(prefix, after);
        const Instant now = monotonicNow();
        if (!events.empty() || now >= end || server.stopping() || StandinServer::peerClosed()) {
            answerJson(response, {{"revision", objects.revision()}, {"events", std::move(events)}});
            return;
        }
        written.wait_for(lock, absl::ToChronoNanoseconds(std::min(end - now, WatchSlice)));
    }
}

void PlatformStandin::State::listVms(Response &response)
{
    const std::lock_guard lock(mutex);
    const Instant seen = monotonicNow() - settings.vmLag;
    std::size_t index = vmHistory.size() - 1;
    while (index > 0 && vmHistory[index].since > seen) {
        --index;
    }
    answerJson(response,
               {{"as_of_ms", wallMs() - absl::ToInt64Milliseconds(settings.vmLag)}, {"vms", vmHistory[index].vms}});
}

void PlatformStandin::State::takeOrder(const Request &request, Response &response)
{
    const std::optional<Json> body = parseJson(request.body);
    const std::string zone = body ? fieldOr<std::string>(*body, "availability_zone", "") : "";
    const std::string orderId = body ? fieldOr<std::string>(*body, "order_id", "") : "";
    if (zone.empty() || orderId.empty()) {
        answerError(response, 400, "invalid", "order_id and availability_zone are required");
        return;
    }
    const auto token = fieldOr<std::uint64_t>(*body, "fencing_token", 0);
    const std::lock_guard lock(mutex);
    std::uint64_t &highest = highestToken[zone];
    const bool accepted = !settings.checkFencing || token >= highest;
    highest = std::max(highest, token);
    orders.push_back({{"order_id", orderId},
                      {"fencing_token", token},
                      {"availability_zone", zone},
                      {"pool", fieldOr<std::string>(*body, "pool", "")},
                      {"lasting", fieldOr<std::uint64_t>(*body, "lasting", 0)},
                      {"cheap", fieldOr<std::uint64_t>(*body, "cheap", 0)},
                      {"sender", senderOf(request)},
                      {"at_ms", monotonicMs()},
                      {"accepted", accepted}});
    if (accepted) {
        answerJson(response, {{"order_id", orderId}, {"accepted", true}});
    } else {
        answerError(response, 409, "stale_token", "fencing token below the highest seen");
    }
}

void PlatformStandin::State::takeReport(const Request &request, Response &response)
{
    const std::optional<Json> body = parseJson(request.body);
    const std::string workspace = body ? fieldOr<std::string>(*body, "workspace", "") : "";
    const std::string window = body ? fieldOr<std::string>(*body, "window", "") : "";
    if (workspace.empty() || window.empty() || !body->contains("body")) {
        answerError(response, 400, "invalid", "workspace, window and body are required");
        return;
    }
    const std::lock_guard lock(mutex);
    // Every report is accepted and recorded: rejecting a second one would hide a violation from the audit.
    reports.push_back({{"workspace", workspace},
                       {"window", window},
                       {"body", (*body)["body"]},
                       {"sender", senderOf(request)},
                       {"at_ms", monotonicMs()}});
    answerJson(response, {{"workspace", workspace}, {"window", window}});
}

void PlatformStandin::State::change(const Request &request, Response &response)
{
    const std::optional<Json> body = parseJson(request.body);
    if (!body || !body->is_object()) {
        answerError(response, 400, "invalid", "expected an object");
        return;
    }
    if (body->contains("vms")) {
        setVms((*body)["vms"]);
    }
    const std::lock_guard lock(mutex);
    settings.checkFencing = fieldOr<bool>(*body, "check_fencing", settings.checkFencing);
    settings.vmLag =
        absl::Milliseconds(fieldOr<std::int64_t>(*body, "vm_lag_ms", absl::ToInt64Milliseconds(settings.vmLag)));
    answerJson(response, Json::object());
}

void PlatformStandin::State::setVms(const Json &vms)
{
    const std::lock_guard lock(mutex);
    vmHistory.push_back({monotonicNow(), vms});
}

Json PlatformStandin::State::audit() const
{
    const std::lock_guard lock(mutex);
    return {{"calls", calls},
            {"revision", objects.revision()},
            {"orders", orders},
            {"reports", reports},
            {"objects", objects.versions()}};
}

PlatformStandin::PlatformStandin(PlatformSettings settings)
    : state_(std::make_unique<State>(settings))
{
}

PlatformStandin::~PlatformStandin()
{
    stop();
}

absl::Status PlatformStandin::start()
{
    return state_->server.start(state_->settings.port);
}

void PlatformStandin::stop()
{
    state_->server.stop([this] { state_->written.notify_all(); });
}

int PlatformStandin::port() const
{
    return state_->server.port();
}

void PlatformStandin::addFault(const Fault &fault)
{
    state_->server.faults().add(fault);
}

void PlatformStandin::clearFaults()
{
    state_->server.faults().clear();
}

void PlatformStandin::setCheckFencing(bool on)
{
    const std::lock_guard lock(state_->mutex);
    state_->settings.checkFencing = on;
}

void PlatformStandin::setVms(const Json &vms)
{
    state_->setVms(vms);
}

Json PlatformStandin::audit() const
{
    return state_->audit();
}

} // namespace currantlug::standins
