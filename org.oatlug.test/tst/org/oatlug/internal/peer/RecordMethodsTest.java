// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import com.fasterxml.jackson.databind.node.IntNode;
import java.util.List;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Settings;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.Test;

/**
 * Verifies the written-out methods of records against those that records have by default, as
 * instances of earlier versions use these: another text would fail every handshake with them, and
 * another hash of a key would make every comparison of digests transfer objects.
 */
public class RecordMethodsTest {
  private record ByDefault(String kind, String name) {}

  @Test
  public void testTextsEqualTheDefaultForm() {
    Member member = new Member("a", "z", "r", "::1", 7, 8, 9, Member.State.SUSPECT);
    assertEquals(
        member.toString(),
        "Member[name=a, zone=z, rack=r, host=::1, peerPort=7, epoch=8, incarnation=9,"
            + " state=SUSPECT]");
    assertEquals(new Settings.Address("h", 1).toString(), "Address[host=h, port=1]");
  }

  @Test
  public void testHashOfKeyEqualsTheDefaultHash() {
    for (String name : List.of("", "main", "i-1", "a longer name")) {
      assertEquals(
          ObjectKey.valueOf("upstream", name).hashCode(),
          new ByDefault("upstream", name).hashCode());
    }
  }

  @Test
  public void testObjectsDifferInEachComponent() {
    ObjectKey key = ObjectKey.valueOf("upstream", "i-1");
    StoredObject object = StoredObject.of(key, new StoreRevision(1, 2), IntNode.valueOf(3));
    StoredObject same =
        StoredObject.of(
            ObjectKey.valueOf("upstream", "i-1"), new StoreRevision(1, 2), IntNode.valueOf(3));
    assertEquals(object, same);
    assertEquals(object.hashCode(), same.hashCode());
    List<StoredObject> others =
        List.of(
            StoredObject.of(ObjectKey.valueOf("rollout", "i-1"), object.revision(), object.value()),
            StoredObject.of(
                ObjectKey.valueOf("upstream", "i-2"), object.revision(), object.value()),
            StoredObject.of(key, new StoreRevision(2, 2), object.value()),
            StoredObject.of(key, new StoreRevision(1, 3), object.value()),
            StoredObject.of(key, object.revision(), IntNode.valueOf(4)),
            StoredObject.of(key, object.revision(), null),
            object.confirmed());
    others.forEach(other -> assertNotEquals(object, other));
  }
}
