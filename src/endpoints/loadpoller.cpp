// GET /v1/load and its answer.
#include "endpoints/loadpoller.h"

#include "core/json.h"

namespace currantlug::endpoints {

namespace {

constexpr std::size_t MaxReportBytes = 64 << 10;
constexpr int HttpOk = 200;

} // namespace

absl::StatusOr<LoadReport> parseLoadReport(std::string_view body, std::string_view peer)
{
    const auto json = parseJson(body);
    const bool valid = json && json->is_object() && json->contains("running") && json->contains("waiting")
        && (*json)["running"].is_number_unsigned() && (*json)["waiting"].is_number_unsigned();
    if (!valid) {
        return makeError(absl::StatusCode::kDataLoss, Step::ReadAnswer, peer, Outcome::Ran, "not a load report");
    }
    LoadReport report;
    report.running = fieldOr<std::uint64_t>(*json, "running", 0);
    report.waiting = fieldOr<std::uint64_t>(*json, "waiting", 0);
    report.kvUsed = fieldOr<double>(*json, "kv_used", 0);
    report.weightVersion = fieldOr<std::uint64_t>(*json, "weight_version", 0);
    report.role = fieldOr<std::string>(*json, "role", "");
    report.leaving = fieldOr<bool>(*json, "leaving", false);
    report.age = absl::Milliseconds(fieldOr<double>(*json, "age_ms", 0));
    return report;
}

absl::StatusOr<LoadReport> LoadPoller::poll(std::string_view address)
{
    auto connection = pool_.take(address);
    if (!connection.ok()) {
        return connection.status();
    }
    const Instant start = monotonicNow();
    std::string body;
    ConnectionPool::Progress progress;
    httplib::Response response;
    httplib::Request http;
    http.method = "GET";
    http.path = "/v1/load";
    http.content_receiver = [&body](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        body.append(data, size);
        return body.size() <= MaxReportBytes;
    };
    const CallDeadlines deadlines{timeout_, timeout_, timeout_};
    const auto exchange = pool_.run(**connection, http, response, deadlines, progress, nullptr);
    if (!exchange.complete) {
        return exchangeError(exchange, address);
    }
    if (response.status != HttpOk) {
        return makeError(absl::StatusCode::kUnavailable, Step::ReadAnswer, address, Outcome::Ran,
                         "endpoint has no load report");
    }
    auto report = parseLoadReport(body, address);
    if (report.ok()) {
        report->age += monotonicNow() - start;
        pool_.giveBack(std::move(*connection));
    }
    return report;
}

} // namespace currantlug::endpoints
