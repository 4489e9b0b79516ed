/// \file
/// Stand-ins for the users' platform on loopback: its metadata store and its backend servers, with faults to order.
#ifndef RAGWORTCART_UNITTESTS_PLATFORM_STANDIN_H
#define RAGWORTCART_UNITTESTS_PLATFORM_STANDIN_H

#include "ragwortcart/Wire/HttpServer.h"

#include <QByteArray>
#include <QJsonObject>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ragwort::platform {

/// The metadata store. Used on its loop's thread only.
class StandInStore
{
public:
    explicit StandInStore(EventLoop &eventLoop);

    Result<std::uint16_t> listen()
    {
        return this->server.listen();
    }

    /// What the operator or a backend server writes.
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);
    /// Forgets all history, and cuts the watches.
    void compact();

    enum class Mood { sound, refuses, silent };
    Mood mood = Mood::sound;
    std::uint64_t calls = 0;

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

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void answerRange(const std::map<std::string, std::string> &query, const std::shared_ptr<HttpExchange> &exchange) const;
    void answerWatch(const std::map<std::string, std::string> &query, const std::shared_ptr<HttpExchange> &exchange);
    void answerTransaction(const std::string &body, const std::shared_ptr<HttpExchange> &exchange);
    bool tryWatch(const Watch &watch) const;
    void wakeWatches();
    QJsonObject itemObject(const std::string &key, const Item &item) const;

    EventLoop &loop;
    HttpServer server;
    std::map<std::string, Item> items;
    std::deque<Change> changes;
    std::set<std::uint64_t> leases;
    std::vector<Watch> watches;
    std::uint64_t revision = 1;
    std::uint64_t oldestRevision = 1;
    std::uint64_t lastLease = 100;
    std::uint64_t lastWatch = 0;
};

/// A backend server. Used on its loop's thread only.
class StandInServer
{
public:
    StandInServer(EventLoop &eventLoop, std::string serverId);

    Result<std::uint16_t> listen()
    {
        return this->server.listen();
    }

    enum class Mood {
        sound,
        /// Proves that it did not run the request.
        sheds,
        silent,
        /// Runs the request and breaks the connection.
        losesAnswers,
        /// Answers with the id of another request.
        crosses,
        /// Says that another server has the address.
        misdirected,
        /// Answers without a signature.
        lacksSignature,
        failing,
    };
    Mood mood = Mood::sound;
    std::uint64_t runs = 0;
    std::uint64_t abandoned = 0;
    HttpRequest lastRequest;

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);

    std::string id;
    HttpServer server;
    std::vector<std::shared_ptr<HttpExchange>> held;
};

} // namespace ragwort::platform

#endif
