/// \file
/// Compares the CPU time that the backend client and QNetworkAccessManager use per sub-request. Only the calling thread
/// counts; the server runs on another thread, and both clients reuse their connections to it.
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
/// Number of sub-requests in flight at a time. QNetworkAccessManager opens at most this number of connections to one server,
/// so that both clients use equally many.
static constexpr int IN_FLIGHT = 6;

/// A backend server on a separate thread that answers every sub-request immediately and without results.
class StubServer
{
public:
    StubServer()
        : server(this->loop, {.address = "127.0.0.1:0"}, [](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
            const Result<BackendRequest> decoded = decodeBackendRequest(request.body, "client");
            BackendReply reply{.query = decoded->query, .attempt = decoded->attempt, .answer = {.snapshot = 1, .range = {.begin = 0, .end = 10}}};
            exchange->respond({.status = 200, .headers = {}, .body = encodeBackendReply(reply)});
        })
    {
        this->address = "127.0.0.1:" + std::to_string(*this->server.listen());
        this->thread = std::thread([this] { this->loop.run(); });
    }
    ~StubServer()
    {
        this->loop.stop();
        this->thread.join();
    }
    StubServer(const StubServer &) = delete;
    StubServer &operator=(const StubServer &) = delete;

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

static SubRequest makeSubRequest(int number, const std::string &address)
{
    return {.query = static_cast<QueryId>(number),
            .attempt = 1,
            .serverId = "s",
            .address = address,
            .kind = "k",
            .text = "text",
            .deadline = steadyNow() + std::chrono::seconds(10)};
}

static double measureBackendClientUs(const std::string &address)
{
    EventLoop loop;
    BackendClient client(loop, {});
    int sent = 0;
    int done = 0;
    std::function<void()> sendNext = [&] {
        if (sent == REQUESTS) {
            return;
        }
        client.send(makeSubRequest(++sent, address), {.maximumConnections = IN_FLIGHT}, [&](const SubOutcome &) {
            if (++done == REQUESTS) {
                loop.stop();
            }
            sendNext();
        });
    };
    for (int index = 0; index < IN_FLIGHT; ++index) {
        loop.post(sendNext);
    }
    const double before = threadCpuUs();
    loop.run();
    return (threadCpuUs() - before) / REQUESTS;
}

static double measureNetworkAccessManagerUs(const std::string &address)
{
    QNetworkAccessManager manager;
    manager.setProxy(QNetworkProxy::NoProxy);
    int sent = 0;
    int done = 0;
    const QUrl url(QString::fromStdString("http://" + address + "/v1/search"));
    std::function<void()> sendNext = [&] {
        if (sent == REQUESTS) {
            return;
        }
        QNetworkRequest request(url);
        request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
        const std::string body = encodeBackendRequest(makeSubRequest(++sent, address), steadyNow());
        QNetworkReply *reply = manager.post(request, QByteArray::fromStdString(body));
        QObject::connect(reply, &QNetworkReply::finished, reply, [&, reply] {
            reply->deleteLater();
            const QByteArray answer = reply->readAll();
            const Result<BackendReply> decoded = decodeBackendReply(std::string_view(answer.constData(), static_cast<std::size_t>(answer.size())), address);
            if (!decoded || ++done == REQUESTS) {
                QCoreApplication::quit();
            }
            sendNext();
        });
    };
    for (int index = 0; index < IN_FLIGHT; ++index) {
        sendNext();
    }
    const double before = threadCpuUs();
    QCoreApplication::exec();
    return (threadCpuUs() - before) / REQUESTS;
}

} // namespace ragwort

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    const ragwort::StubServer server;
    static constexpr int ROUNDS = 3;
    for (int round = 0; round < ROUNDS; ++round) {
        const double backendClientUs = ragwort::measureBackendClientUs(server.address);
        const double networkAccessManagerUs = ragwort::measureNetworkAccessManagerUs(server.address);
        std::printf("backend_client_us=%.1f network_access_manager_us=%.1f ratio=%.1f\n",
                    backendClientUs,
                    networkAccessManagerUs,
                    networkAccessManagerUs / backendClientUs);
    }
    return 0;
}
