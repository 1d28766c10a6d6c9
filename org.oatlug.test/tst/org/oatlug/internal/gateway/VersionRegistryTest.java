// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which versions count as lacking a roll-out order. */
public class VersionRegistryTest {
  private static final String SERVICE = "pool";

  private VersionRegistry versions;

  @BeforeMethod
  void setUp() {
    versions = VersionRegistry.create();
    versions.added(SERVICE, "v1");
  }

  @Test
  public void testVersionsKnownBeforeInitialReadCountAsOrdered() {
    versions.added(SERVICE, "v2");
    versions.completeInitialRead();
    assertFalse(versions.lacksRolloutOrder(SERVICE, "v1"));
    assertFalse(versions.lacksRolloutOrder(SERVICE, "v2"));
  }

  @Test
  public void testVersionThatAppearsBesideAnotherNeedsAnOrder() {
    versions.completeInitialRead();
    versions.added(SERVICE, "v2");
    versions.added("other", "v2");
    assertTrue(versions.lacksRolloutOrder(SERVICE, "v2"));
    assertFalse(versions.lacksRolloutOrder("other", "v2"));
    versions.recordOrder(SERVICE, "v2");
    assertFalse(versions.lacksRolloutOrder(SERVICE, "v2"));
  }

  @Test
  public void testOrderMayBeKnownBeforeTheUpstreams() {
    versions.completeInitialRead();
    versions.recordOrder(SERVICE, "v2");
    versions.added(SERVICE, "v2");
    assertFalse(versions.lacksRolloutOrder(SERVICE, "v2"));
  }

  @Test
  public void testOnlyRemainingVersionIsAccepted() {
    versions.completeInitialRead();
    versions.added(SERVICE, "v2");
    versions.removed(SERVICE, "v1");
    assertFalse(versions.lacksRolloutOrder(SERVICE, "v2"));
  }

  /** During an outage of the store entries expire, and they are registered again after it. */
  @Test
  public void testVersionWhoseUpstreamsRegisterAgainStaysAccepted() {
    versions.completeInitialRead();
    versions.added(SERVICE, "v2");
    versions.removed(SERVICE, "v1");
    versions.added(SERVICE, "v1");
    assertFalse(versions.lacksRolloutOrder(SERVICE, "v1"));
  }

  /** When an entry is replaced, the new state is added before the previous one is removed. */
  @Test
  public void testVersionStaysAcceptedWhenItsOnlyUpstreamReplacesItsEntry() {
    versions.completeInitialRead();
    versions.added(SERVICE, "v2");
    versions.added(SERVICE, "v1");
    versions.removed(SERVICE, "v1");
    assertFalse(versions.lacksRolloutOrder(SERVICE, "v1"));
    assertTrue(versions.lacksRolloutOrder(SERVICE, "v2"));
  }
}
