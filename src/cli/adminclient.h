// Calls to a daemon's admin interface.
#ifndef CURRANTLUG_CLI_ADMINCLIENT_H
#define CURRANTLUG_CLI_ADMINCLIENT_H

#include "core/json.h"

#include <absl/status/statusor.h>

#include <string>
#include <utility>
#include <vector>

namespace currantlug::cli {

struct AdminReply
{
    int status = 0;
    Json body;
};

class AdminClient
{
public:
    /// `addresses` are tried in order; the next one is used only when no connection could be made.
    AdminClient(std::vector<std::string> addresses, std::string token);

    absl::StatusOr<AdminReply> get(const std::string &path);
    absl::StatusOr<AdminReply> post(const std::string &path, const Json &body);

private:
    absl::StatusOr<AdminReply> send(const std::string &method, const std::string &path, const std::string &body);

    std::vector<std::string> addresses_;
    std::string token_;
};

} // namespace currantlug::cli

#endif
