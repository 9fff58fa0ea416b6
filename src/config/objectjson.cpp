// Reads and writes configuration objects (design 5.4).
#include "config/objectjson.h"

#include "config/objectkinds.h"

#include <algorithm>
#include <charconv>

namespace currantlug::config {

namespace {

using Need = FieldReader::Need;

constexpr std::size_t MaxModelBytes = 256;
constexpr std::size_t MaxFieldNameBytes = 128;
constexpr std::uint64_t MaxReplicas = 1'000'000;

// "10.0.0.1:8000": the system communicates by IP address, so host names are refused.
bool isAddress(std::string_view text)
{
    constexpr int Parts = 5;
    constexpr unsigned MaxByte = 255;
    constexpr unsigned MaxPort = 65535;
    const char *at = text.data();
    const char *const end = at + text.size();
    for (int part = 0; part < Parts; ++part) {
        unsigned value = 0;
        const auto [next, error] = std::from_chars(at, end, value);
        const bool port = part == Parts - 1;
        if (error != std::errc() || value > (port ? MaxPort : MaxByte) || (port && value == 0)) {
            return false;
        }
        at = next;
        if (port) {
            break;
        }
        const char separator = part == Parts - 2 ? ':' : '.';
        if (at == end || *at != separator) {
            return false;
        }
        ++at;
    }
    return at == end;
}

bool isDigest(std::string_view text)
{
    constexpr std::size_t Sha256Digits = 64;
    return text.size() == Sha256Digits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

void parse(FieldReader &reader, Workspace &workspace)
{
    workspace.weight = reader.amount("weight", Need::Required, true);
    workspace.tokensPerSecond = reader.amount("tokens_per_s", Need::Optional);
    workspace.maxInFlight = reader.count("max_in_flight", Need::Optional);
}

void parse(FieldReader &reader, Key &key)
{
    constexpr std::string_view Allowed = "SHA-256 of the key as 64 lower-case hexadecimal digits";
    key.workspace = WorkspaceId(reader.name("workspace", Need::Required));
    const Json *digest = reader.field("digest", Need::Required, Allowed);
    if (digest == nullptr) {
        return;
    }
    key.digest = digest->is_string() ? digest->get<std::string>() : std::string();
    if (!isDigest(key.digest)) {
        // The value is left out of the message, as it may be the key itself.
        reader.report("digest", Allowed, "another value");
    }
}

void parse(FieldReader &reader, Route &route)
{
    route.workspace = WorkspaceId(reader.name("workspace", Need::Optional));
    route.open = reader.flag("open", Need::Optional);
    if (route.open == !route.workspace.empty()) {
        reader.report("open", "either \"workspace\" or \"open\": true", route.open ? "both" : "neither");
    }
    route.pool = PoolId(reader.name("pool", Need::Required));
    route.kind = reader.choice<PoolKind>("kind");
    route.repeatable = reader.flag("repeatable", Need::Optional);
    route.keyField = reader.text("key_field", Need::Optional, MaxFieldNameBytes);
}

Endpoint parseEndpoint(const Json &json, const std::string &path, Problems &problems)
{
    constexpr std::string_view Allowed = "an IPv4 address and port like 10.0.0.1:8000";
    Endpoint endpoint;
    FieldReader reader(json, path, problems);
    endpoint.name = EndpointId(reader.name("name", Need::Required));
    if (const Json *address = reader.field("address", Need::Required, Allowed); address != nullptr) {
        endpoint.address = address->is_string() ? address->get<std::string>() : std::string();
        if (!isAddress(endpoint.address)) {
            reader.report("address", Allowed, address);
        }
    }
    endpoint.zone = ZoneId(reader.name("availability_zone", Need::Required));
    endpoint.cheap = reader.flag("cheap", Need::Optional);
    endpoint.checksFencing = reader.flag("checks_fencing", Need::Optional);
    reader.finish();
    return endpoint;
}

void parse(FieldReader &reader, Pool &pool, Problems &problems)
{
    pool.kind = reader.choice<PoolKind>("kind");
    pool.model = reader.text("model", Need::Optional, MaxModelBytes);
    if ((pool.kind == PoolKind::Engine) == pool.model.empty()) {
        reader.report("model", pool.model.empty() ? "the model of an engine pool" : "no model in a service pool",
                      pool.model.empty() ? "nothing" : shortText(pool.model));
    }
    if (const Json *list = reader.field("endpoints", Need::Optional, "a list"); list != nullptr) {
        if (!list->is_array()) {
            reader.report("endpoints", "a list", list);
        } else {
            for (std::size_t i = 0; i < list->size(); ++i) {
                pool.endpoints.push_back(
                    parseEndpoint((*list)[i], fmt::format("{}/endpoints/{}", reader.path(), i), problems));
            }
        }
    }
    pool.min = reader.count("min", Need::Optional, 0, MaxReplicas);
    pool.max = reader.count("max", Need::Optional, 0, MaxReplicas);
    if (pool.max < pool.min) {
        reader.report("max", fmt::format("at least min ({})", pool.min), std::to_string(pool.max));
    }
    pool.spendPerHour = reader.amount("spend_per_hour", Need::Optional);
}

void parse(FieldReader &reader, ModelVersion &version)
{
    version.model = reader.text("model", Need::Required, MaxModelBytes);
    version.version = reader.count("version", Need::Required);
}

template<class Object>
Object parseObject(const Json &json, const std::string &path, Problems &problems)
{
    Object object;
    FieldReader reader(json, path, problems);
    if constexpr (std::is_same_v<Object, Pool>) {
        parse(reader, object, problems);
    } else {
        parse(reader, object);
    }
    reader.finish();
    return object;
}

Json objectToJson(const Workspace &workspace)
{
    return {{"weight", workspace.weight},
            {"tokens_per_s", workspace.tokensPerSecond},
            {"max_in_flight", workspace.maxInFlight}};
}

Json objectToJson(const Key &key)
{
    return {{"workspace", key.workspace.str()}, {"digest", key.digest}};
}

Json objectToJson(const Route &route)
{
    Json json{{"pool", route.pool.str()}, {"kind", nameOf(route.kind)}, {"repeatable", route.repeatable}};
    if (route.open) {
        json["open"] = true;
    } else {
        json["workspace"] = route.workspace.str();
    }
    if (!route.keyField.empty()) {
        json["key_field"] = route.keyField;
    }
    return json;
}

Json objectToJson(const Pool &pool)
{
    Json endpoints = Json::array();
    for (const Endpoint &endpoint : pool.endpoints) {
        endpoints.push_back({{"name", endpoint.name.str()},
                             {"address", endpoint.address},
                             {"availability_zone", endpoint.zone.str()},
                             {"cheap", endpoint.cheap},
                             {"checks_fencing", endpoint.checksFencing}});
    }
    Json json{{"kind", nameOf(pool.kind)},
              {"endpoints", std::move(endpoints)},
              {"min", pool.min},
              {"max", pool.max},
              {"spend_per_hour", pool.spendPerHour}};
    if (!pool.model.empty()) {
        json["model"] = pool.model;
    }
    return json;
}

Json objectToJson(const ModelVersion &version)
{
    return {{"model", version.model}, {"version", version.version}};
}

} // namespace

Json toJson(const ObjectSet &objects)
{
    Json json = Json::object();
    detail::forEachKind([&](const char *kind, auto member, auto) {
        for (const auto &[id, object] : objects.*member) {
            json[kind][id.str()] = objectToJson(object);
        }
    });
    return json;
}

ObjectSet parseObjects(const Json &json, const std::string &path, Problems &problems)
{
    ObjectSet objects;
    FieldReader reader(json, path, problems);
    detail::forEachKind([&](const char *kind, auto member, auto) {
        using Entry = typename std::decay_t<decltype(objects.*member)>::Entry;
        const Json *kindJson = reader.field(kind, Need::Optional, "an object");
        if (kindJson == nullptr) {
            return;
        }
        if (!kindJson->is_object()) {
            reader.report(kind, "an object", kindJson);
            return;
        }
        const std::string kindPath = fmt::format("{}/{}", path, kind);
        for (const auto &[name, value] : kindJson->items()) {
            if (!isName(name)) {
                reader.report(kind, fmt::format("names of {}", NameRule), shortText(name));
                continue;
            }
            const typename Entry::first_type id(name);
            (objects.*member)
                .set(id,
                     parseObject<typename Entry::second_type>(value, fmt::format("{}/{}", kindPath, name), problems));
        }
    });
    reader.finish();
    return objects;
}

} // namespace currantlug::config
