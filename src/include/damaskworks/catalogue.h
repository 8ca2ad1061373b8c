/// \file
/// In-memory catalogue of all resources that one node knows, built from the rows of its mirror.
#pragma once

#include <damaskworks/resource.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace damask {

/// Resources by kind and name. A resource's spec row and status row may arrive in either order.
class Catalogue {
public:
    using Key = std::pair<Kind, std::string>;

    /// Applies one changed row. Returns the key of the resource, or nothing if the row is not part of a
    /// resource.
    std::optional<Key> apply(const Row& row);
    /// Returns the resource, or nullptr if it has no spec.
    const Resource* find(Kind kind, std::string_view name) const;
    /// Returns all resources of one kind, sorted by name.
    std::vector<const Resource*> list(Kind kind) const;
    /// Returns the resources of one kind that belong to \p pool, sorted by name. A VM belongs to the pool in
    /// its status if there is one, every other resource to the pool in its spec. An index by pool makes
    /// the cost depend on the number of results, not on the size of the catalogue.
    std::vector<const Resource*> listByPool(Kind kind, std::string_view pool) const;
    /// Returns the version of the status row; 0 if there is none.
    TableVersion statusVersion(Kind kind, std::string_view name) const;

private:
    struct Entry {
        Resource resource;
        bool hasSpec = false;
        TableVersion statusVersion = 0;
        std::string pool; ///< pool under which the index holds the resource; empty: not indexed
    };
    void addToIndex(const Key& key, Entry& entry);
    void removeFromIndex(const Key& key, const Entry& entry);

    std::map<Key, Entry> m_entries;
    std::map<Key, std::set<std::string>> m_byPool; ///< resource names by kind and pool
};

} // namespace damask
