/// \file
/// Tests of the operators' client with responses that are not valid.
#include "ragwortcart/Operator/BlockingPlatformClient.h"

#include "Wire/RawResponseServer.h"

#include <QCoreApplication>
#include <gtest/gtest.h>

namespace ragwort {

/// Guards against an answer with a status such as 000 that is shown or saved as the state of an instance.
TEST(BlockingPlatformClientTest, takesNoResponseForAnAnswerWithoutItsStatus)
{
    int count = 1;
    char name[] = "test";
    char *arguments[] = {name, nullptr};
    const QCoreApplication application(count, arguments);
    BlockingPlatformClient client("127.0.0.1:9");
    for (const std::string status : {"000", "001", "099", "199", "201", "204", "302", "404", "600", "999"}) {
        const RawResponseServer server("HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\n{}");
        EXPECT_FALSE(client.fetch(server.address(), "/state")) << status;
    }
    const RawResponseServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_TRUE(client.fetch(server.address(), "/state"));
}

} // namespace ragwort
