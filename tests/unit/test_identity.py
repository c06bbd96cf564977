"""Which tenant a key belongs to, and ids that no other tenant's id equals."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksramp.routing.identity import (
    Identified,
    Tenant,
    TenantError,
    Tenants,
    Unidentified,
    digest_of_key,
    scoped_id,
)


def tenant(name: str, *keys: str) -> Tenant:
    return Tenant(name, key_digests=frozenset(digest_of_key(key.encode()) for key in keys))


def test_a_caller_is_identified_by_a_key_of_its_tenant() -> None:
    tenants = Tenants((tenant("a", "k1", "k2"), tenant("b", "k3")))
    assert [tenants.identify(key) for key in (b"k1", b"k2", b"k3")] == [
        Identified("a"),
        Identified("a"),
        Identified("b"),
    ]
    assert tenants.identify(None) == Unidentified("key_missing")
    unknown = tenants.identify(b"k4")
    assert isinstance(unknown, Unidentified) and unknown.reason == "key_unknown"
    assert digest_of_key(b"k4").startswith(unknown.short_digest) and len(unknown.short_digest) == 12
    assert tenants.identify(None, is_key_required=False) == Identified()


def test_without_tenants_no_key_is_needed() -> None:
    assert Tenants().identify(None) == Tenants().identify(b"k") == Identified()


@pytest.mark.parametrize(
    ("tenants", "path"),
    [
        ((tenant("a", "k"), tenant("b", "k")), "tenants[1].keys"),
        ((tenant("a"), tenant("a")), "tenants[1].name"),
        ((tenant(""),), "tenants[0].name"),
        ((tenant("a\n"),), "tenants[0].name"),
    ],
)
def test_contradicting_tenants_are_refused_by_field(tenants: tuple[Tenant, ...], path: str) -> None:
    with pytest.raises(TenantError) as refused:
        Tenants(tenants)
    assert refused.value.path == path and refused.value.reason


names = st.text(st.sampled_from("0a.:/"), max_size=30) | st.just(scoped_id("a", "x"))


@given(st.sampled_from(["", "a", "b"]), names, st.sampled_from(["", "a", "b"]), names)
def test_ids_are_equal_only_for_the_same_tenant_and_name(a: str, name: str, b: str, other: str) -> None:
    assert (scoped_id(a, name) == scoped_id(b, other)) == ((a, name) == (b, other))
