#include "ragwortcart/Support/RcuValue.h"

#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace ragwort {

TEST(RcuValueTest, readerReturnsTheNewestValueAndOldPointersStayValid)
{
    RcuValue<int> value(std::make_shared<const int>(1));
    RcuValue<int>::Reader reader(value);
    const std::shared_ptr<const int> old = reader.get();
    value.publish(std::make_shared<const int>(2));
    EXPECT_EQ(*reader.get(), 2);
    EXPECT_EQ(*old, 1);
}

TEST(RcuValueTest, concurrentReadersNeverObserveAnOlderVersion)
{
    static constexpr int VERSIONS = 20'000;
    RcuValue<int> value(std::make_shared<const int>(0));
    std::vector<std::thread> readers;
    std::atomic<int> reversals{0};
    for (int index = 0; index < 3; ++index) {
        readers.emplace_back([&value, &reversals] {
            RcuValue<int>::Reader reader(value);
            for (int last = 0; last < VERSIONS;) {
                const int current = *reader.get();
                reversals += current < last ? 1 : 0;
                last = current;
            }
        });
    }
    for (int version = 1; version <= VERSIONS; ++version) {
        value.publish(std::make_shared<const int>(version));
    }
    for (std::thread &reader : readers) {
        reader.join();
    }
    EXPECT_EQ(reversals, 0);
}

} // namespace ragwort
