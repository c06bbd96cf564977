"""Identifies callers by API keys that are kept as digests only.

Both roles of the product use it: the gateway with the keys of its settings, the edge role with those of the
configuration in force.
"""

import hashlib
import re
from dataclasses import dataclass, field

#: Length of the part of a digest that identifies a key in logs.
SHORT_DIGEST_CHARACTERS = 12
SCOPE_DIGEST_B = 8
SCOPED_PATTERN = re.compile(rf"[0-9a-f]{{{2 * SCOPE_DIGEST_B}}}\.")


def digest_of_key(key: bytes) -> str:
    """Return the lower-case hexadecimal SHA-256 of an API key."""
    return hashlib.sha256(key).hexdigest()


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of a configuration.

    Attributes:
        priority: 0 is the most urgent; it ranks before the priority of a route.
        key_digests: digests of its API keys.
    """

    name: str
    priority: int = 0
    key_digests: frozenset[str] = frozenset()


class TenantError(ValueError):
    """The tenants of a configuration contradict each other or cannot be used.

    Attributes:
        path: field in the configuration.
        reason: what is wrong with it.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Identified:
    """The caller may make the request.

    Attributes:
        tenant: name of its tenant, empty for a caller without one.
    """

    tenant: str = ""


@dataclass(frozen=True, slots=True)
class Unidentified:
    """The caller has no key or an unknown one.

    Attributes:
        reason: name of the rule that applied.
        short_digest: beginning of the digest of the key, empty without a key.
    """

    reason: str
    short_digest: str = ""


@dataclass(frozen=True, slots=True)
class Tenants:
    """Tenants of one configuration version.

    Without any tenant, callers need no keys.

    Attributes:
        tenants: all tenants, with distinct names and keys.

    Raises:
        TenantError: two tenants have the same name or the same key, or a name is empty or unprintable.
    """

    tenants: tuple[Tenant, ...] = ()
    _names_by_digest: dict[str, str] = field(init=False, repr=False, compare=False)
    _by_name: dict[str, Tenant] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        names: set[str] = set()
        names_by_digest: dict[str, str] = {}
        for idx, tenant in enumerate(self.tenants):
            path = f"tenants[{idx}]"
            if not tenant.name.strip() or not tenant.name.isprintable():
                raise TenantError(f"{path}.name", "is empty or holds control characters")
            if tenant.name in names:
                raise TenantError(f"{path}.name", f"{tenant.name!r} is the name of two tenants")
            names.add(tenant.name)
            for digest in tenant.key_digests:
                other = names_by_digest.setdefault(digest, tenant.name)
                if other != tenant.name:
                    raise TenantError(f"{path}.keys", f"{tenant.name!r} and {other!r} have the same key")
        object.__setattr__(self, "_names_by_digest", names_by_digest)
        object.__setattr__(self, "_by_name", {tenant.name: tenant for tenant in self.tenants})

    def by_name(self, name: str) -> Tenant | None:
        """Return the tenant of a name, None if there is none."""
        return self._by_name.get(name)

    def identify(self, key: bytes | None, is_key_required: bool = True) -> Identified | Unidentified:
        """Return the tenant of a caller.

        Args:
            key: key of the request, None if it has none.
            is_key_required: whether a caller without a valid key must be rejected.
        """
        if not self.tenants:
            return Identified()
        digest = digest_of_key(key) if key else ""
        name = self._names_by_digest.get(digest)
        if name is not None:
            return Identified(name)
        if not is_key_required:
            return Identified()
        reason = "key_unknown" if digest else "key_missing"
        return Unidentified(reason, digest[:SHORT_DIGEST_CHARACTERS])


def scoped_id(tenant: str, name: str) -> str:
    """Return an id that no other tenant's id equals, whatever names callers choose.

    The scope of a tenant is a digest of fixed length, so that the boundary between scope and name is
    unambiguous. Without a tenant there is no scope, unless the name looks like one that has a scope.
    """
    if not tenant and SCOPED_PATTERN.match(name) is None:
        return name
    return f"{hashlib.blake2b(tenant.encode(), digest_size=SCOPE_DIGEST_B).hexdigest()}.{name}"
