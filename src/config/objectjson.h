// JSON form of configuration objects, shared by tickets and snapshots.
#ifndef CURRANTLUG_CONFIG_OBJECTJSON_H
#define CURRANTLUG_CONFIG_OBJECTJSON_H

#include "config/fieldreader.h"
#include "config/ticket.h"

namespace currantlug::config {

/// The objects as {"workspaces":{name:{...}},...}; kinds without objects are left out.
Json toJson(const ObjectSet &objects);

/// Reads objects and reports problems with paths below `path`.
ObjectSet parseObjects(const Json &json, const std::string &path, Problems &problems);

} // namespace currantlug::config

#endif
