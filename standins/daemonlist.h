// The daemons a trainer can call: known at start or learnt from /v1/addresses, one in use at a time.
#ifndef CURRANTLUG_STANDINS_DAEMONLIST_H
#define CURRANTLUG_STANDINS_DAEMONLIST_H

#include "core/instant.h"
#include "platform/httpclient.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace currantlug::standins {

/// Not thread-safe.
class DaemonList
{
public:
    DaemonList(std::vector<std::string> seeds, std::string key, std::string zone, absl::Duration callTimeout);

    /// Calls the daemon in use, with the key as Bearer header. Asks for addresses first when they are unknown or older
    /// than the daemon said to keep them.
    absl::StatusOr<platform::HttpAnswer> call(std::string_view method, const std::string &target,
                                              const std::string &body, absl::Duration extraTime);

    /// Moves on to the next address and asks it for its list.
    void moveOn();

    /// "host:port" of the daemon in use.
    const std::string &current() const { return addresses_[current_]; }

private:
    void refresh();
    platform::HttpClient &clientOf(const std::string &address);

    std::vector<std::string> seeds_;
    std::string key_;
    std::string zone_;
    absl::Duration callTimeout_;
    std::vector<std::string> addresses_; ///< Learnt ones first, then seeds that are not among them; never empty.
    std::size_t current_ = 0;
    Instant keepUntil_{-absl::InfiniteDuration()}; ///< When to ask for addresses again.
    std::map<std::string, std::unique_ptr<platform::HttpClient>> clients_;
};

} // namespace currantlug::standins

#endif
