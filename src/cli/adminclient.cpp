// HTTP calls of the command-line tool.
#include "cli/adminclient.h"

#include "core/error.h"

#include <httplib.h>

namespace currantlug::cli {

namespace {

// Filing a ticket waits up to 5 s for a majority and may read back a lost store answer before that.
constexpr int ReadTimeoutSeconds = 30;
constexpr int ConnectTimeoutSeconds = 3;

} // namespace

AdminClient::AdminClient(std::vector<std::string> addresses, std::string token)
    : addresses_(std::move(addresses))
    , token_(std::move(token))
{
}

absl::StatusOr<AdminReply> AdminClient::get(const std::string &path)
{
    return send("GET", path, "");
}

absl::StatusOr<AdminReply> AdminClient::post(const std::string &path, const Json &body)
{
    return send("POST", path, body.dump());
}

absl::StatusOr<AdminReply> AdminClient::send(const std::string &method, const std::string &path,
                                             const std::string &body)
{
    absl::Status last =
        makeError(absl::StatusCode::kInvalidArgument, Step::Connect, "", Outcome::NotRun, "no admin address given");
    for (const std::string &address : addresses_) {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(ConnectTimeoutSeconds);
        client.set_read_timeout(ReadTimeoutSeconds);
        const httplib::Headers headers{{"Authorization", "Bearer " + token_}};
        const httplib::Result result =
            method == "GET" ? client.Get(path, headers) : client.Post(path, headers, body, "application/json");
        if (result) {
            return AdminReply{result->status, parseJson(result->body).value_or(Json(result->body))};
        }
        const bool notSent = result.error() == httplib::Error::Connection;
        last = makeError(absl::StatusCode::kUnavailable, notSent ? Step::Connect : Step::ReadAnswer, address,
                         notSent ? Outcome::NotRun : Outcome::MayHaveRun, httplib::to_string(result.error()));
        if (!notSent) {
            // The daemon may have acted on the request: sending it to another one could act twice.
            return last;
        }
    }
    return last;
}

} // namespace currantlug::cli
