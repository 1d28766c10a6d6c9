// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Shows which versions count as brought in without an order. */
public class KnownVersionsTest {
  private static final String SERVICE = "pool";

  private KnownVersions versions;

  @BeforeMethod
  void begin() {
    versions = KnownVersions.create();
    versions.added(SERVICE, "v1");
  }

  @Test
  public void testVersionsKnownBeforeAllWasReadCountAsOrdered() {
    versions.added(SERVICE, "v2");
    versions.allRead();
    assertFalse(versions.isUnordered(SERVICE, "v1"));
    assertFalse(versions.isUnordered(SERVICE, "v2"));
  }

  @Test
  public void testVersionThatAppearsBesideAnotherNeedsAnOrder() {
    versions.allRead();
    versions.added(SERVICE, "v2");
    versions.added("other", "v2");
    assertTrue(versions.isUnordered(SERVICE, "v2"));
    assertFalse(versions.isUnordered("other", "v2"));
    versions.ordered(SERVICE, "v2");
    assertFalse(versions.isUnordered(SERVICE, "v2"));
  }

  @Test
  public void testOrderMayBeKnownBeforeTheUpstreams() {
    versions.allRead();
    versions.ordered(SERVICE, "v2");
    versions.added(SERVICE, "v2");
    assertFalse(versions.isUnordered(SERVICE, "v2"));
  }

  @Test
  public void testVersionThatIsLeftAloneTakesThePlace() {
    versions.allRead();
    versions.added(SERVICE, "v2");
    versions.removed(SERVICE, "v1");
    assertFalse(versions.isUnordered(SERVICE, "v2"));
  }

  /** Entries lapse in an outage of the store and come back after it. */
  @Test
  public void testVersionWhoseUpstreamsComeBackIsNotTakenForNew() {
    versions.allRead();
    versions.added(SERVICE, "v2");
    versions.removed(SERVICE, "v1");
    versions.added(SERVICE, "v1");
    assertFalse(versions.isUnordered(SERVICE, "v1"));
  }

  /** An entry that is written anew is added before it is removed. */
  @Test
  public void testOnlyUpstreamThatChangesItsEntryStays() {
    versions.allRead();
    versions.added(SERVICE, "v2");
    versions.added(SERVICE, "v1");
    versions.removed(SERVICE, "v1");
    assertFalse(versions.isUnordered(SERVICE, "v1"));
    assertTrue(versions.isUnordered(SERVICE, "v2"));
  }
}
