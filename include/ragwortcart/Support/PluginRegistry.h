/// \file
/// A registry of plug-ins by interface. Plug-ins register a factory under a name during static initialization.
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

/// Maps names to factories of implementations of \p Interface. Filled before main() and read-only afterwards.
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

    /// Registers \p factory. Has no effect if the name is already registered.
    void add(std::string name, Factory factory)
    {
        this->factories.emplace(std::move(name), std::move(factory));
    }

    /// Creates an instance of the plug-in \p name. Returns null if no such plug-in is registered.
    std::unique_ptr<Interface> create(std::string_view name) const
    {
        const auto found = this->factories.find(name);
        return found == this->factories.end() ? nullptr : found->second();
    }

    /// Returns the registered names in alphabetical order.
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

/// Registers \p Implementation under a name. A plug-in defines one file-local object of this type.
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
