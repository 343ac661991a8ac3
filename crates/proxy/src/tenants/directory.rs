//! Looks up the tenants of one version of the configuration by their keys.
use super::ClientKey;
use quincehatch_config::configuration::{Configuration, Route, limits};
use quincehatch_config::key_digest::KeyDigest;
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_quota::Limit;
use std::collections::{BTreeMap, HashMap};

/// Maps keys to tenants, under one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct TenantDirectory {
    require_keys: bool,
    tenant_by_key: HashMap<KeyDigest, Name>,
    /// The limits of the tenants that have one.
    limits: BTreeMap<Name, Limit>,
}

impl TenantDirectory {
    /// Creates the directory of a validated configuration.
    pub fn from_configuration(configuration: &Configuration) -> TenantDirectory {
        let mut tenant_by_key = HashMap::new();
        for tenant in &configuration.tenants {
            let digests = tenant.keys.iter().filter_map(|key| key.parse().ok());
            tenant_by_key.extend(digests.map(|digest| (digest, Name::from(tenant.name.as_str()))));
        }
        let limits = limits(&configuration.tenants);
        TenantDirectory { require_keys: configuration.require_keys, tenant_by_key, limits }
    }

    /// Returns the number of keys in force.
    pub fn key_count(&self) -> usize {
        self.tenant_by_key.len()
    }

    /// Whether the tenant has a limit, so that its operations are counted.
    pub fn has_limit(&self, tenant: &Name) -> bool {
        self.limits.contains_key(tenant)
    }

    /// Returns the tenant to which the key belongs.
    pub fn tenant_of(&self, key: ClientKey) -> Option<&Name> {
        self.tenant_by_key.get(&key.digest()?)
    }

    /// Returns the tenant for which a client with this key uses the route; `None` if the route needs no key and the key
    /// is no tenant's.
    ///
    /// # Errors
    /// `Unauthenticated` if the route needs a key and this one is no tenant's.
    pub fn authenticate(&self, route: &Route, key: ClientKey) -> Result<Option<Name>, Error> {
        let tenant = self.tenant_of(key).cloned();
        if self.require_keys && !route.public && tenant.is_none() {
            return Err(ErrorCode::Unauthenticated.without_detail());
        }
        Ok(tenant)
    }
}
