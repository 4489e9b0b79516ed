/// \file
/// The registry through which policies reach the kernel. A plug-in registers a factory under a name at program start.
#ifndef RAGWORTCART_SUPPORT_PLUGINREGISTRY_H
#define RAGWORTCART_SUPPORT_PLUGINREGISTRY_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwort {

/// Factories of the implementations of \p Interface by name. Filled before main(), read-only afterwards.
template <typename Interface>
class PluginRegistry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>()>;

    static PluginRegistry &instance()
    {
        static PluginRegistry registry;
        return registry;
    }

    void add(std::string name, Factory factory)
    {
        this->factories.emplace(std::move(name), std::move(factory));
    }

    /// Makes the plug-in called \p name, or returns null when there is none.
    std::unique_ptr<Interface> create(std::string_view name) const
    {
        const auto found = this->factories.find(name);
        return found == this->factories.end() ? nullptr : found->second();
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &entry : this->factories) {
            result.push_back(entry.first);
        }
        return result;
    }

private:
    std::map<std::string, Factory, std::less<>> factories;
};

/// Registers \p Implementation under a name; define one file-local object of it in a plug-in.
template <typename Interface, typename Implementation>
class PluginRegistration
{
public:
    explicit PluginRegistration(const char *name)
    {
        PluginRegistry<Interface>::instance().add(name, [] { return std::make_unique<Implementation>(); });
    }
};

} // namespace ragwort

#endif
