// Check of the heads of answers that cpp-httplib has read. The library takes any three digits for a status and any text
// for the name of a field.
#ifndef CURRANTLUG_PLATFORM_RESPONSEFLAW_H
#define CURRANTLUG_PLATFORM_RESPONSEFLAW_H

#include "core/httpsyntax.h"

#include <httplib.h>

#include <string_view>

namespace currantlug::platform {

/// Returns why the answer can't be used, or an empty text if it can.
inline std::string_view responseFlaw(const httplib::Response &response)
{
    std::string_view flaw = responseStatusFlaw(response.status);
    for (const auto &[name, value] : response.headers) {
        if (flaw.empty()) {
            flaw = responseFieldFlaw(name, value);
        }
    }
    return flaw;
}

} // namespace currantlug::platform

#endif
