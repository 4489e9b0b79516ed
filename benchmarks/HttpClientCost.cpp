/// \file
/// CPU of the calling thread for one kept-alive sub-request: the backend client against QNetworkAccessManager, both towards
/// the same server.
#include "ragwortcart/Wire/BackendClient.h"
#include "ragwortcart/Wire/HttpServer.h"

#include <QByteArray>
#include <QCoreApplication>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <cstdio>
#include <ctime>
#include <functional>
#include <thread>

namespace ragwort {

static constexpr int REQUESTS = 20'000;
/// As many as QNetworkAccessManager opens to one server.
static constexpr int IN_FLIGHT = 6;

/// A server on a thread of its own that answers every sub-request at once.
class EchoServer
{
public:
    EchoServer()
        : server(this->loop, {.address = "127.0.0.1:0"}, [](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
            const Result<BackendRequest> decoded = decodeBackendRequest(request.body, "client");
            BackendReply reply{.query = decoded->query, .attempt = decoded->attempt, .answer = {.snapshot = 1, .range = {.begin = 0, .end = 10}}};
            exchange->respond({.status = 200, .headers = {}, .body = encodeBackendReply(reply)});
        })
    {
        this->address = "127.0.0.1:" + std::to_string(*this->server.listen());
        this->thread = std::thread([this] { this->loop.run(); });
    }
    ~EchoServer()
    {
        this->loop.stop();
        this->thread.join();
    }
    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    std::string address;

private:
    EventLoop loop;
    HttpServer server;
    std::thread thread;
};

static double threadCpuUs()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

static SubRequest requestNumber(int number, const std::string &address)
{
    return {.query = static_cast<QueryId>(number),
            .attempt = 1,
            .serverId = "s",
            .address = address,
            .kind = "k",
            .text = "text",
            .deadline = steadyNow() + std::chrono::seconds(10)};
}

static double costOfBackendClient(const std::string &address)
{
    EventLoop loop;
    BackendClient client(loop, {});
    int sent = 0;
    int done = 0;
    std::function<void()> next = [&] {
        if (sent == REQUESTS) {
            return;
        }
        client.send(requestNumber(++sent, address), {.bound = IN_FLIGHT}, [&](const SubOutcome &) {
            if (++done == REQUESTS) {
                loop.stop();
            }
            next();
        });
    };
    for (int index = 0; index < IN_FLIGHT; ++index) {
        loop.post(next);
    }
    const double before = threadCpuUs();
    loop.run();
    return (threadCpuUs() - before) / REQUESTS;
}

static double costOfNetworkAccessManager(const std::string &address)
{
    QNetworkAccessManager manager;
    manager.setProxy(QNetworkProxy::NoProxy);
    int sent = 0;
    int done = 0;
    const QUrl url(QString::fromStdString("http://" + address + "/v1/search"));
    std::function<void()> next = [&] {
        if (sent == REQUESTS) {
            return;
        }
        QNetworkRequest request(url);
        request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
        const std::string body = encodeBackendRequest(requestNumber(++sent, address), steadyNow());
        QNetworkReply *reply = manager.post(request, QByteArray::fromStdString(body));
        QObject::connect(reply, &QNetworkReply::finished, reply, [&, reply] {
            reply->deleteLater();
            const QByteArray answer = reply->readAll();
            const Result<BackendReply> decoded = decodeBackendReply(std::string_view(answer.constData(), static_cast<std::size_t>(answer.size())), address);
            if (!decoded || ++done == REQUESTS) {
                QCoreApplication::quit();
            }
            next();
        });
    };
    for (int index = 0; index < IN_FLIGHT; ++index) {
        next();
    }
    const double before = threadCpuUs();
    QCoreApplication::exec();
    return (threadCpuUs() - before) / REQUESTS;
}

} // namespace ragwort

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    const ragwort::EchoServer server;
    static constexpr int ROUNDS = 3;
    for (int round = 0; round < ROUNDS; ++round) {
        const double own = ragwort::costOfBackendClient(server.address);
        const double qt = ragwort::costOfNetworkAccessManager(server.address);
        std::printf("backend_client_us=%.1f network_access_manager_us=%.1f ratio=%.1f\n", own, qt, qt / own);
    }
    return 0;
}
