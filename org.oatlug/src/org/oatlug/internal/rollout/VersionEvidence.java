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
 * @param reporters the number of instances whose evidence is included and current
 * @param outcomes the counts of responses by route, and how many failed; not sent by earlier
 *     releases
 * @param lateness the counts of responses of plain services by route, and how many were late; not
 *     sent by earlier releases
 */
public record VersionEvidence(
    String service,
    String version,
    StoreRevision orderedAt,
    ComparedPairs pairs,
    long answers,
    boolean refuted,
    long ageMillis,
    int reporters,
    ServiceOutcomes outcomes,
    ServiceOutcomes lateness) {
  private static final long MAXIMUM_ANSWERS = 1_000_000_000L;

  /** Thirty days, in milliseconds; exceeds the duration of any roll-out. */
  private static final long MAXIMUM_AGE_MILLIS = 2_592_000_000L;

  /** The time without a report after which an instance no longer counts as a reporter. */
  public static final Duration CURRENT_FOR = Duration.ofSeconds(2);

  private static final int MAXIMUM_REPORTERS = 1_000_000;

  /** Creates evidence; counts by route that an earlier release does not send are zero. */
  public VersionEvidence {
    outcomes = outcomes == null ? ServiceOutcomes.NONE : outcomes;
    lateness = lateness == null ? ServiceOutcomes.NONE : lateness;
  }

  /** Creates evidence without counts by route. */
  public VersionEvidence(
      String service,
      String version,
      StoreRevision orderedAt,
      ComparedPairs pairs,
      long answers,
      boolean refuted,
      long ageMillis,
      int reporters) {
    this(
        service,
        version,
        orderedAt,
        pairs,
        answers,
        refuted,
        ageMillis,
        reporters,
        ServiceOutcomes.NONE,
        ServiceOutcomes.NONE);
  }

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
        Math.max(ageMillis, other.ageMillis),
        reporters + other.reporters,
        outcomes.plus(other.outcomes),
        lateness.plus(other.lateness));
  }

  /**
   * Returns the later of two states of the evidence of the same instances. Counts never decrease,
   * so these depend neither on the order in which states arrive nor on duplicates; the reporters
   * are those of this state.
   */
  public VersionEvidence join(VersionEvidence other) {
    return new VersionEvidence(
        service,
        version,
        orderedAt,
        pairs.join(other.pairs),
        Math.max(answers, other.answers),
        refuted || other.refuted,
        Math.max(ageMillis, other.ageMillis),
        reporters,
        outcomes.join(other.outcomes),
        lateness.join(other.lateness));
  }

  /**
   * Returns the same evidence some time after it was reported: with the age of the order advanced,
   * where it is known, and without reporters once they are not current.
   */
  public VersionEvidence after(Duration elapsed) {
    long age = ageMillis == 0 ? 0 : ageMillis + elapsed.toMillis();
    boolean current = elapsed.compareTo(CURRENT_FOR) <= 0;
    return new VersionEvidence(
        service,
        version,
        orderedAt,
        pairs,
        answers,
        refuted,
        age,
        current ? reporters : 0,
        outcomes,
        lateness);
  }

  /**
   * Returns the same evidence without age, reporters and counts by route, for comparing whether it
   * changed. The counts change with each response; the number of answers stands for them.
   */
  public VersionEvidence withoutAge() {
    return new VersionEvidence(service, version, orderedAt, pairs, answers, refuted, 0, 0);
  }

  /** Returns the first problem of evidence that a peer sent, empty if it is valid. */
  public Optional<String> problem() {
    if (service == null || version == null || orderedAt == null || pairs == null) {
      return Optional.of("evidence lacks a required field");
    }
    boolean validAge = ageMillis >= 0 && ageMillis <= MAXIMUM_AGE_MILLIS;
    boolean validReporters = reporters >= 0 && reporters <= MAXIMUM_REPORTERS;
    boolean validCounts =
        answers >= 0
            && answers <= MAXIMUM_ANSWERS
            && pairs.isSound()
            && outcomes.isSound()
            && lateness.isSound();
    if (!validCounts || !validAge || !validReporters) {
      return Optional.of("evidence has a count or an age out of range");
    }
    return Optional.empty();
  }
}
