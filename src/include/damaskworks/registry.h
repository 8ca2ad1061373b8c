/// \file
/// Registry of plug-ins. A plug-in registers itself under a name during static initialisation; its users look
/// it up by that name at run time.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace damask {

/// Registry of factories or functions of type \p Entry. There is one registry per entry type.
template <typename Entry> class Registry {
public:
    /// The process-wide registry for \p Entry.
    static Registry& instance()
    {
        static Registry registry;
        return registry;
    }

    /// Adds \p entry under \p name and replaces an earlier entry of that name. Always returns true, so that
    /// it can initialise a static variable.
    bool add(std::string_view name, Entry entry)
    {
        m_entries.insert_or_assign(std::string(name), std::move(entry));
        return true;
    }

    /// The entry called \p name, or nullptr.
    const Entry* find(std::string_view name) const
    {
        auto it = m_entries.find(name);
        return it == m_entries.end() ? nullptr : &it->second;
    }

    /// All entries by name.
    const std::map<std::string, Entry, std::less<>>& entries() const { return m_entries; }

    /// Names of all entries, joined by ", ", for error messages and help.
    std::string names() const
    {
        std::string joined;
        for (const auto& [name, entry] : m_entries) {
            if (!joined.empty())
                joined += ", ";
            joined += name;
        }
        return joined;
    }

private:
    std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace damask
