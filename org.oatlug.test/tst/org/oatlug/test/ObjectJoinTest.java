// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.oatlug.api.ObjectKey;
import org.oatlug.internal.config.ObjectJoin;
import org.oatlug.internal.config.ObjectRules;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/** Checks that published objects never revert under reordering, loss and duplication. */
class ObjectJoinTest {
  private static final String SEED = "20261202";

  @Property(seed = SEED)
  void testMergeResultIsIndependentOfOrderAndDuplicates(
      @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 5) Integer> names,
      @ForAll @IntRange(min = 0, max = 1000) int shuffleSeed) {
    List<StoredObject> history = history(names);
    List<StoredObject> shuffled = new ArrayList<>(history);
    shuffled.addAll(history.subList(0, history.size() / 2));
    Collections.shuffle(shuffled, new Random(shuffleSeed));
    ObjectJoin joinInOrder = joinOf(history);
    ObjectJoin joinShuffled = joinOf(shuffled);
    assertEquals(List.copyOf(joinShuffled.all()), List.copyOf(joinInOrder.all()));
    assertEquals(joinShuffled.digest(), joinInOrder.digest());
    assertEquals(joinShuffled.bucketDigests(), joinInOrder.bucketDigests());
  }

  @Property(seed = SEED)
  void testLateObjectLowersNoRevision(
      @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 3) Integer> names,
      @ForAll @IntRange(min = 0, max = 1000) int shuffleSeed) {
    List<StoredObject> shuffled = new ArrayList<>(history(names));
    Collections.shuffle(shuffled, new Random(shuffleSeed));
    ObjectJoin join = ObjectJoin.create(ObjectRules.BY_REVISION);
    for (StoredObject object : shuffled) {
      StoreRevision previousRevision =
          join.get(object.key()).map(StoredObject::revision).orElse(StoreRevision.NONE);
      join.merge(object);
      StoreRevision currentRevision = join.get(object.key()).orElseThrow().revision();
      assertEquals(
          currentRevision,
          object.revision().isAfter(previousRevision) ? object.revision() : previousRevision);
    }
  }

  private static ObjectJoin joinOf(List<StoredObject> objects) {
    ObjectJoin join = ObjectJoin.create(ObjectRules.BY_REVISION);
    objects.forEach(join::merge);
    return join;
  }

  /** Returns an object for each name, with revisions that increase along the list. */
  private static List<StoredObject> history(List<Integer> names) {
    List<StoredObject> history = new ArrayList<>();
    for (int index = 0; index < names.size(); index++) {
      ObjectKey key = ObjectKey.valueOf("version", "v" + names.get(index));
      history.add(
          StoredObject.of(key, StoreRevision.ofNumber(index + 1), Json.STRICT.createObjectNode()));
    }
    return history;
  }
}
