// A small deployment for the review: stand-ins of the metadata store, the duty receiver and the replicas, which follow
// the users' pages, and the processes of the deploy file.
#ifndef CURRANTLUG_REVIEW_SITE_H
#define CURRANTLUG_REVIEW_SITE_H

#include "http.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace review {

using Json = nlohmann::json;

/// Milliseconds since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t duration);
std::string base64(std::string_view bytes);

/// Writes lines with a time stamp to record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    {
    }
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// The platform's metadata store.
class Store
{
public:
    enum class Mode {
        Up,
        Busy, ///< Each call gets 503 and does nothing.
        Silent, ///< No call is answered or executed.
    };
    Store(const std::string &address, Record &record);
    ~Store();

    const std::string &address() const { return server_.address(); }
    void setMode(Mode mode);
    /// Time from a call's execution to its answer.
    void setAnswerMs(int duration) { answerMs_ = duration; }
    void setValueBytes(std::size_t bytes) { valueBytes_ = bytes; }
    /// Share of the writes that are done and not answered.
    void setLostShare(double share);
    /// Cuts off the watches that are waiting.
    void cutWatches();
    /// Writes or removes an object, as the operator or a replica does. Returns once it is stored.
    void put(const std::string &kind, const std::string &name, const Json &spec);
    void remove(const std::string &kind, const std::string &name);
    std::optional<Json> get(const std::string &kind, const std::string &name);
    std::size_t count(const std::string &kind);
    /// Called after each write of a daemon with the kind, the name, the new spec and the HTTP status.
    void onWrite(std::function<void(const std::string &, const std::string &, const Json &, int)> hook);

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        Json spec;
        Json status;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        Json body;
    };
    bool isStopped();
    bool serve(const Message &request, Connection &connection);
    std::pair<int, Json> execute(const Message &request, const std::string &kind, const std::string &name,
                                 bool ofStatus);
    std::pair<int, Json> list(const Message &request, const std::string &kind);
    /// Returns nothing if the watch was cut off.
    std::optional<std::pair<int, Json>> watch(const Message &request, const std::string &kind);
    static Json toJson(const std::string &name, const Object &object);
    void changed(const std::string &kind, const std::string &name, const Object &object, bool removed);

    Record &record_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::deque<Event> events_;
    std::uint64_t revision_ = 100;
    std::uint64_t cut_ = 0; ///< Number of times that the watches were cut off.
    Mode mode_ = Mode::Up;
    bool stopped_ = false;
    double lostShare_ = 0;
    std::mt19937 random_{7};
    std::atomic<int> answerMs_{4};
    std::atomic<std::size_t> valueBytes_{1048576};
    std::function<void(const std::string &, const std::string &, const Json &, int)> hook_;
    Server server_; ///< Last, so that it ends first.
};

/// One request that a replica was given.
struct Run
{
    std::int64_t atMs = 0;
    std::string replica;
    std::string service;
    std::string id;
    std::string path;
    std::string body;
    std::vector<std::string> tenants; ///< All values of X-Tenant.
    std::vector<std::string> keys; ///< All values of Authorization.
    int lastEventId = 0;
    int endedAtEvent = 0; ///< Last event that was sent; the whole output if `complete`.
    bool complete = false;
};

/// What the replicas were given, for the checks of a case.
class RunLog
{
public:
    std::size_t begin(Run run);
    void end(std::size_t index, int lastEvent, bool complete);
    std::vector<Run> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
};

struct ReplicaOptions
{
    std::string id;
    std::string address;
    std::string service;
    std::string zone;
    std::vector<std::string> models; ///< Empty for a plain service.
    int slots = 4;
    int events = 10; ///< Of each text.
    int eventMs = 100;
    std::size_t eventBytes = 40;
    int workMs = 25; ///< Of a plain request.
    bool endless = false; ///< Faulty: the body of a stream has bytes without end.
};

/// A model replica, or a replica of a plain service.
class Replica
{
public:
    Replica(ReplicaOptions options, Store &store, RunLog &runs, Record &record);
    ~Replica();

    const ReplicaOptions &options() const { return options_; }
    void registerEntry(const std::string &state = "ready");
    /// Data of event `number` of the text of a request.
    static std::string eventData(const std::string &tenant, const std::string &body, int number, std::size_t bytes);
    /// The whole text of a request, as a result has it.
    std::string wholeText(const std::string &tenant, const std::string &body) const;

private:
    bool serve(const Message &request, Connection &connection);
    bool generate(const Message &request, Connection &connection);
    bool plain(const Message &request, Connection &connection);
    bool order(const Message &request, Connection &connection);
    /// Sends bytes without end, in chunks, until the caller closes.
    void flood(const Connection &connection);
    Headers baseHeaders(const Message &request) const;
    Json models() const;

    ReplicaOptions options_;
    Store &store_;
    RunLog &runs_;
    Record &record_;
    const std::int64_t bornMs_; ///< Unix time of the start.
    mutable std::mutex mutex_;
    std::map<std::string, int> versions_;
    int orders_ = 0;
    int running_ = 0;
    std::atomic<bool> ended_{false};
    std::unique_ptr<Server> server_;
};

struct NodeOptions
{
    std::string name;
    std::string ip;
    std::string zone;
};

/// A process of the deploy file.
class Node
{
public:
    Node(NodeOptions options, Json settings, std::string folder, Record &record);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    void signal(int number);
    /// SIGKILL, and waits for the end.
    void kill();
    /// SIGTERM; waits for the end, and sends SIGKILL after `graceMs`.
    void terminate(int graceMs);
    bool running();
    /// The process's resident memory, in bytes.
    std::size_t residentBytes() const;
    const std::string &name() const { return options_.name; }
    const std::string &zone() const { return options_.zone; }
    std::string front() const { return options_.ip + ":18405"; }
    std::string ready() const { return options_.ip + ":18406"; }

private:
    void reap();

    NodeOptions options_;
    Json settings_;
    std::string folder_;
    Record &record_;
    pid_t pid_ = -1;
};

/// The whole deployment. Its addresses are loopback addresses that only this run uses.
class Site
{
public:
    /// `folder`: of the case, for record.txt.
    explicit Site(const std::string &folder);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    Record &record() { return record_; }
    Store &store() { return *store_; }
    RunLog &runs() { return runs_; }
    std::vector<std::unique_ptr<Node>> &nodes() { return nodes_; }
    Node &node(const std::string &name);
    std::string nextIp();
    Replica &addReplica(ReplicaOptions options);
    void addNode(const std::string &zone);
    /// Starts all nodes and waits until each of them is ready. Returns false if one isn't in time.
    bool start();
    /// Calls that the duty receiver got, as lines.
    std::vector<std::string> duties() const;

    Json &settings() { return settings_; }

private:
    Record record_;
    std::string temporary_;
    int ips_ = 0;
    std::string prefix_;
    Json settings_;
    RunLog runs_;
    mutable std::mutex dutyMutex_;
    std::vector<std::string> duties_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Server> dutyReceiver_;
    std::vector<std::unique_ptr<Replica>> replicas_;
    std::vector<std::unique_ptr<Node>> nodes_;
};

/// A trainer or another client of a workspace.
class Client
{
public:
    Client(Site &site, std::string host, std::string key)
        : site_(site)
        , host_(std::move(host))
        , key_(std::move(key))
    {
    }
    Message send(Node &node, const std::string &method, const std::string &target, const Headers &extra,
                 const std::string &body, int timeoutMs);
    /// Submits a job; the same job again at the next node after anything but a 202. Returns the last status.
    int submit(const std::string &path, const std::string &id, const Json &body);
    /// Reads all results from a position on; the status of the last call in `status`.
    Json read(Node &node, const std::string &id, std::size_t after, int &status, int waitMs = 0);
    int end(Node &node, const std::string &id);

private:
    Site &site_;
    std::string host_;
    std::string key_;
};

} // namespace review

#endif
