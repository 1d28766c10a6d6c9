// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import java.time.Duration;
import java.util.Optional;
import org.oatlug.platform.StoreRevision;

/**
 * Evidence about a version since its roll-out was ordered, from one instance or from several.
 * Immutable, thread-safe.
 *
 * @param service the service
 * @param version the version under roll-out
 * @param orderedAt the store's revision of the order
 * @param pairs the counts of response pairs in which exactly one version was bad
 * @param answers the number of responses of the version
 * @param refuted whether the version is known to be worse
 * @param ageMillis the age of the order in milliseconds, measured by the instances that observed
 *     its creation; 0 if none did
 */
public record VersionEvidence(
    String service,
    String version,
    StoreRevision orderedAt,
    ComparedPairs pairs,
    long answers,
    boolean refuted,
    long ageMillis) {
  private static final long MAXIMUM_ANSWERS = 1_000_000_000L;

  /** Thirty days, in milliseconds; exceeds the duration of any roll-out. */
  private static final long MAXIMUM_AGE_MILLIS = 2_592_000_000L;

  /** Returns whether both belong to the same roll-out order. */
  public boolean isOfSameOrder(VersionEvidence other) {
    return service.equals(other.service)
        && version.equals(other.version)
        && orderedAt.equals(other.orderedAt);
  }

  /** Returns the sum of the evidence of two disjoint sets of responses. */
  public VersionEvidence plus(VersionEvidence other) {
    return new VersionEvidence(
        service,
        version,
        orderedAt,
        pairs.plus(other.pairs),
        answers + other.answers,
        refuted || other.refuted,
        Math.max(ageMillis, other.ageMillis));
  }

  /**
   * Returns the later of two states of the evidence of the same instances. Counts never decrease,
   * so the result depends neither on the order in which states arrive nor on duplicates.
   */
  public VersionEvidence join(VersionEvidence other) {
    return new VersionEvidence(
        service,
        version,
        orderedAt,
        pairs.join(other.pairs),
        Math.max(answers, other.answers),
        refuted || other.refuted,
        Math.max(ageMillis, other.ageMillis));
  }

  /** Returns the same evidence with the age of the order advanced; an unknown age stays unknown. */
  public VersionEvidence after(Duration elapsed) {
    return ageMillis == 0 ? this : withAge(ageMillis + elapsed.toMillis());
  }

  /** Returns the same evidence without an age, for comparing whether anything else changed. */
  public VersionEvidence withoutAge() {
    return withAge(0);
  }

  private VersionEvidence withAge(long millis) {
    return new VersionEvidence(service, version, orderedAt, pairs, answers, refuted, millis);
  }

  /** Returns the first problem of evidence that a peer sent, empty if it is valid. */
  public Optional<String> problem() {
    if (service == null || version == null || orderedAt == null || pairs == null) {
      return Optional.of("evidence lacks a required field");
    }
    boolean validAge = ageMillis >= 0 && ageMillis <= MAXIMUM_AGE_MILLIS;
    if (answers < 0 || answers > MAXIMUM_ANSWERS || !pairs.isSound() || !validAge) {
      return Optional.of("evidence has a count or an age out of range");
    }
    return Optional.empty();
  }
}
