// The caller's key: every place it may stand in, every place it must not, and what comes back.
#include "requests/keycheck.h"

#include "core/error.h"
#include "core/hash.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>

#include <random>

using namespace currantlug;
using namespace currantlug::requests;

namespace {

const std::string Key = "sk-Test/42+key=";
const std::string Percent = "sk-Test%2F42%2bkey%3D";

bool holdsKey(const CallerRequest &request)
{
    const KeyRedactor redactor(Key);
    bool found = redactor.occursIn(request.target) || redactor.occursIn(request.body);
    for (const auto &[name, value] : request.headers) {
        found = found || redactor.occursIn(value);
    }
    return found;
}

} // namespace

TEST_CASE("the key is found in every place and removed from it", "[requests]")
{
    // Guards against an endpoint that sees a caller's key.
    const std::string basic = "Basic " + absl::Base64Escape("user:" + Key);
    const std::string keyOnly = "basic " + absl::Base64Escape(Key + ":");
    const HeaderList form{{"Content-Type", "application/x-www-form-urlencoded; charset=utf-8"}};
    const std::vector<CallerRequest> requests{
        {"GET", "/a", {{"Authorization", "Bearer " + Key}}, ""},
        {"GET", "/a", {{"authorization", "bearer   " + Key + " "}, {"X-Api-Key", Key}}, ""},
        {"GET", "/a", {{"Authorization", basic}}, ""},
        {"GET", "/a", {{"Authorization", keyOnly}}, ""},
        {"GET", "/a", {{"x-api-key", Key}}, ""},
        {"GET", "/a?x=1&api_key=" + Percent + "&y=2", {}, ""},
        {"GET", "/a?KEY=" + Percent, {}, ""},
        {"GET", "/a?%6bey=" + Percent, {}, ""},
        {"GET", "/a", {{"Cookie", "a=b; access_token=\"" + Key + "\"; c=d"}}, ""},
        {"POST", "/a", {}, "{\"n\":1.50,\"secret\":\"" + Key + "\"}"},
        {"POST", "/a", {}, "{\"secret\":\"sk-Test\\/42\\u002bkey=\"}"},
        {"POST", "/a", form, "x=1&secret=" + Percent},
    };
    for (const CallerRequest &request : requests) {
        INFO(request.target << " " << request.body);
        const auto keyed = takeKey(request, "secret");
        REQUIRE(keyed.ok());
        CHECK(keyed->keyDigest == sha256Hex(Key));
        CHECK_FALSE(holdsKey(keyed->scrubbed));
    }
    CHECK(takeKey(requests[5])->scrubbed.target == "/a?x=1&y=2");
    CHECK(takeKey(requests[6])->scrubbed.target == "/a");
    CHECK(takeKey(requests[9], "secret")->scrubbed.body == "{\"n\":1.50,\"secret\":\"\"}");
    CHECK(takeKey(requests[11], "secret")->scrubbed.body == "x=1");
    CHECK(takeKey({"GET", "/a", {{"Cookie", "a=b"}}, "{}"})->keyDigest.empty());
}

TEST_CASE("a key anywhere else refuses the request", "[requests]")
{
    const std::vector<std::string> forms{Key,
                                         Percent,
                                         "sk-Test%252F42%252bkey%253D",
                                         "%73k-Test%2F42%2bkey%3D",
                                         absl::Base64Escape(Key),
                                         absl::WebSafeBase64Escape("name:" + Key),
                                         "sk-Test\\/42\\u002Bkey="};
    const HeaderList bearer{{"Authorization", "Bearer " + Key}};
    for (const std::string &form : forms) {
        INFO(form);
        CallerRequest body{"POST", "/a", bearer, "{\"prompt\":\"say " + form + " aloud\"}"};
        CallerRequest path{"POST", "/a/" + form + "/b", bearer, ""};
        CallerRequest query{"POST", "/a?q=" + form, bearer, ""};
        CallerRequest header{"POST", "/a", bearer, ""};
        header.headers.emplace_back("Accept", "x, " + form);
        for (const CallerRequest &request : {body, path, query, header}) {
            const auto refused = takeKey(request);
            CHECK(refused.status().code() == absl::StatusCode::kInvalidArgument);
            CHECK(errorContext(refused.status()).outcome == Outcome::NotRun);
            CHECK_FALSE(KeyRedactor(Key).occursIn(std::string(refused.status().message())));
        }
    }
    CallerRequest compressed{"POST", "/a", bearer, "x"};
    compressed.headers.emplace_back("Content-Encoding", "gzip");
    CHECK_FALSE(takeKey(compressed).ok());
    CHECK(takeKey({"POST", "/a/b%2Fc?q=%41", bearer, "plain text \\ with % signs and +base64+like+text+runs"}).ok());
}

TEST_CASE("contradictory and malformed keys are refused", "[requests]")
{
    const HeaderList bearer{{"Authorization", "Bearer " + Key}};
    HeaderList two = bearer;
    two.emplace_back("X-Api-Key", "another-key");
    CHECK(takeKey({"GET", "/", two, ""}).status().code() == absl::StatusCode::kInvalidArgument);
    for (const char *value : {"Bearer short", "Bearer with space", "Digest x=y", "Bearer", "Basic !!!"}) {
        INFO(value);
        CHECK(takeKey({"GET", "/", {{"Authorization", value}}, ""}).status().code()
              == absl::StatusCode::kUnauthenticated);
    }
    CHECK_FALSE(takeKey({"POST", "/", {}, R"({"k":"key-number-1","k":"key-number-2"})"}, "k").ok());
    CHECK_FALSE(takeKey({"POST", "/", {}, R"({"k":7})"}, "k").ok());
}

TEST_CASE("no random text around an encoded key hides it", "[requests]")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        std::string text = Key;
        for (std::uint64_t layers = random() % 3; layers > 0; --layers) {
            std::string encoded;
            for (const char c : text) {
                encoded += random() % 2 == 0 ? std::string(1, c) : "%" + absl::BytesToHexString(std::string(1, c));
            }
            text = random() % 3 == 0 ? absl::Base64Escape(text) : encoded;
        }
        const std::string around = "left \"" + text + "\", right";
        const KeyRedactor redactor(Key);
        CHECK(redactor.occursIn(around));
        CHECK_FALSE(redactor.occursIn(redactor.redact(around)));
    }
    const KeyRedactor redactor(Key);
    CHECK(redactor.redact("bad key " + Key + "!") == "bad key [key]!");
    CHECK(redactor.redact("nothing") == "nothing");
    CHECK(KeyRedactor().redact(Key) == Key);
}
