/// \file
/// Implements loopback fakes of the metadata store and the backend servers of the users' platform, with fault injection.
#ifndef RAGWORTCART_UNITTESTS_PLATFORM_PLATFORMFAKES_H
#define RAGWORTCART_UNITTESTS_PLATFORM_PLATFORMFAKES_H

#include "ragwortcart/Wire/HttpServer.h"

#include <QByteArray>
#include <QJsonObject>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwort::platform {

/// Fake metadata store. Must be used on the thread of its event loop.
class FakeMetadataStore
{
public:
    explicit FakeMetadataStore(EventLoop &eventLoop);

    Result<std::uint16_t> listen()
    {
        return this->server.listen();
    }

    /// Writes an item as the operator or a backend server does.
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);
    /// Compacts the history and closes the connections of all watches. A watch from an earlier revision then fails with 410.
    void compact();
    /// Keeps a copy of the contents, the history and the leases.
    void keepCopy();
    /// Goes back to the copy, loses what was written since, gives out its revisions again and states the next epoch. Closes the connections of
    /// all watches.
    void restoreCopy();
    /// Answers reads that may be stale from the copy, with the latest revision.
    bool staleReads = false;
    /// The epoch in all answers; empty if the store does not state it.
    std::string statedEpoch = "1";

    enum class FaultMode {
        none,
        refusesRequests,
        unresponsive,
        /// Answers each call for a page of a list with the first page, and says that there are more.
        repeatsFirstPage,
    };
    FaultMode faultMode = FaultMode::none;
    /// How the store reads the query of a call. Both are in use: what names a key must mean the same in both.
    enum class QueryDecoding {
        /// As the query of a URL: a plus sign stands for itself.
        url,
        /// As the body of a form: a plus sign stands for a blank.
        form
    };
    QueryDecoding queryDecoding = QueryDecoding::url;
    /// Maximum number of items in a page of a list. Small pages force every list to take several calls.
    int pageSize = 4;
    std::uint64_t calls = 0;
    /// Number of lists that were begun.
    std::uint64_t lists = 0;

    std::size_t count(const std::string &prefix) const;
    std::size_t openWatches() const
    {
        return this->watches.size();
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        bool deleted = false;
    };
    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
        std::uint64_t number = 0;
    };

    using Query = std::map<std::string, std::string>;

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    /// Returns nothing if a name or a value in the query is not percent-encoded correctly.
    std::optional<Query> parseQuery(const std::string &target) const;
    std::optional<std::string> decodeQueryText(std::string_view text) const;
    void answerRange(const Query &query, const std::shared_ptr<HttpExchange> &exchange);
    void answerWatch(const Query &query, const std::shared_ptr<HttpExchange> &exchange);
    void answerTransaction(const std::string &body, const std::shared_ptr<HttpExchange> &exchange);
    bool tryAnswerWatch(const Watch &watch) const;
    void notifyWatches();
    void answer(HttpExchange &exchange, int status, const QJsonObject &object) const;
    QJsonObject itemObject(const std::string &key, const Item &item) const;

    EventLoop &loop;
    HttpServer server;
    std::map<std::string, Item> items;
    std::deque<Change> changes;
    std::set<std::uint64_t> leases;
    struct Copy
    {
        std::map<std::string, Item> items;
        std::deque<Change> changes;
        std::set<std::uint64_t> leases;
        std::uint64_t revision = 1;
        std::uint64_t lastLease = 100;
    };
    Copy copy;
    std::vector<Watch> watches;
    std::uint64_t revision = 1;
    std::uint64_t oldestRevision = 1;
    std::uint64_t lastLease = 100;
    std::uint64_t lastWatchNumber = 0;
    /// Expires with the store, for timers that outlive it.
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

/// Fake backend server. Must be used on the thread of its event loop.
class FakeBackendServer
{
public:
    FakeBackendServer(EventLoop &eventLoop, std::string serverId);

    Result<std::uint16_t> listen()
    {
        return this->server.listen();
    }

    enum class FaultMode {
        none,
        /// Refuses the request and reports that it did not run.
        shedsLoad,
        unresponsive,
        /// Runs the request and closes the connection without a response.
        dropsConnection,
        /// Responds with the id of another request.
        mismatchedRequestId,
        /// Reports that the address belongs to another server.
        misdirected,
        /// Responds without a signature.
        missingSignature,
        /// Responds with a signature that reads as two in a list.
        signatureWithComma,
        serverError,
    };
    FaultMode faultMode = FaultMode::none;
    std::uint64_t runs = 0;
    std::uint64_t abandoned = 0;
    HttpRequest lastRequest;

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);

    std::string id;
    HttpServer server;
    std::vector<std::shared_ptr<HttpExchange>> heldExchanges;
};

} // namespace ragwort::platform

#endif
