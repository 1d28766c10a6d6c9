// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.internal.engine.PrefillTimeModel;
import org.oatlug.internal.limit.AdvertisedLimit;
import org.oatlug.internal.rollout.VersionEvidence;

/**
 * Reports the pending prompts, version evidence, prefill speeds and rate limits of one instance or
 * the aggregate of several. Immutable, thread-safe.
 *
 * @param openMillis the estimated prefill time of the pending prompts, in milliseconds by upstream
 *     process
 * @param evidence the evidence on versions that are being rolled out, one entry per service
 * @param speeds the prefill time models of engines by model; a measurement of any instance is valid
 *     for all
 * @param limits the rate limits that upstreams advertise, by upstream process
 * @param brittle the rejections per second that brittle upstreams bear, by upstream process
 * @param load the load that the instances observe
 */
public record StateReport(
    Map<String, Integer> openMillis,
    List<VersionEvidence> evidence,
    Map<String, PrefillTimeModel> speeds,
    Map<String, AdvertisedLimit> limits,
    Map<String, AdvertisedLimit> brittle,
    LoadReport load) {
  /** An empty report. */
  public static final StateReport EMPTY =
      new StateReport(Map.of(), List.of(), Map.of(), Map.of(), Map.of());

  /** The maximum prefill time pending at an upstream, in milliseconds; no queue is that long. */
  private static final int MAXIMUM_OPEN_MILLIS = 10_000_000;

  /** The maximum entries of a report; the design size has fewer upstreams, services and models. */
  private static final int MAXIMUM_ENTRIES = 10_000;

  /** Replaces missing limits, as sent by an instance of an earlier version, by an empty map. */
  public StateReport {
    limits = limits == null ? Map.of() : limits;
    brittle = brittle == null ? Map.of() : brittle;
    load = load == null ? LoadReport.EMPTY : load;
  }

  /** Creates a report without load. */
  public StateReport(
      Map<String, Integer> openMillis,
      List<VersionEvidence> evidence,
      Map<String, PrefillTimeModel> speeds,
      Map<String, AdvertisedLimit> limits,
      Map<String, AdvertisedLimit> brittle) {
    this(openMillis, evidence, speeds, limits, brittle, LoadReport.EMPTY);
  }

  /** Returns a report of load only. */
  static StateReport ofLoad(LoadReport load) {
    return new StateReport(Map.of(), List.of(), Map.of(), Map.of(), Map.of(), load);
  }

  /** Returns the aggregate of reports of different instances. */
  static StateReport sumOf(Iterable<StateReport> reports) {
    Map<String, Integer> open = new TreeMap<>();
    Map<String, PrefillTimeModel> models = new TreeMap<>();
    Map<String, VersionEvidence> byService = new TreeMap<>();
    Map<String, AdvertisedLimit> newestLimits = new TreeMap<>();
    Map<String, AdvertisedLimit> newestBrittle = new TreeMap<>();
    LoadReport load = LoadReport.EMPTY;
    for (StateReport report : reports) {
      report.openMillis.forEach((upstream, millis) -> open.merge(upstream, millis, Integer::sum));
      report.speeds.forEach(models::putIfAbsent);
      report.limits.forEach(
          (name, limit) -> newestLimits.merge(name, limit, AdvertisedLimit::newer));
      report.brittle.forEach(
          (name, limit) -> newestBrittle.merge(name, limit, AdvertisedLimit::newer));
      report.evidence.forEach(
          entry -> byService.merge(entry.service(), entry, StateReport::sumOrLatest));
      load = load.plus(report.load);
    }
    return new StateReport(
        open, List.copyOf(byService.values()), models, newestLimits, newestBrittle, load);
  }

  /**
   * Returns the sum of evidence on the same roll-out order; a later order replaces an earlier one.
   */
  private static VersionEvidence sumOrLatest(VersionEvidence left, VersionEvidence right) {
    if (left.isOfSameOrder(right)) {
      return left.plus(right);
    }
    return right.orderedAt().isAfter(left.orderedAt()) ? right : left;
  }

  /**
   * Returns this report joined with an earlier one of the same instances, so that evidence never
   * decreases.
   */
  StateReport joinEarlier(StateReport earlier) {
    List<VersionEvidence> joined = new ArrayList<>();
    for (VersionEvidence current : evidence) {
      VersionEvidence result = current;
      for (VersionEvidence previous : earlier.evidence) {
        result = current.isOfSameOrder(previous) ? result.join(previous) : result;
      }
      joined.add(result);
    }
    Map<String, PrefillTimeModel> models = new TreeMap<>(earlier.speeds);
    models.putAll(speeds);
    return new StateReport(openMillis, joined, models, limits, brittle, load);
  }

  /** Returns this report with all ages increased by the elapsed time. */
  StateReport aged(Duration elapsed) {
    if (evidence.isEmpty() && limits.isEmpty() && brittle.isEmpty() && load.refused().isEmpty()) {
      return this;
    }
    return new StateReport(
        openMillis,
        evidence.stream().map(entry -> entry.after(elapsed)).toList(),
        speeds,
        Maps.transformValues(limits, limit -> limit.aged(elapsed)),
        Maps.transformValues(brittle, limit -> limit.aged(elapsed)),
        load.aged(elapsed));
  }

  /**
   * Returns whether the reports are equal apart from ages and load. The load changes all the time,
   * and a refresh is soon enough for it.
   */
  boolean equalsIgnoringAges(StateReport other) {
    return openMillis.equals(other.openMillis)
        && speeds.equals(other.speeds)
        && withoutAge(limits).equals(withoutAge(other.limits))
        && withoutAge(brittle).equals(withoutAge(other.brittle))
        && withoutAge(evidence).equals(withoutAge(other.evidence));
  }

  private static List<VersionEvidence> withoutAge(List<VersionEvidence> evidence) {
    return evidence.stream().map(VersionEvidence::withoutAge).toList();
  }

  private static Map<String, Double> withoutAge(Map<String, AdvertisedLimit> limits) {
    return Maps.transformValues(limits, AdvertisedLimit::requestsPerSecond);
  }

  /** Returns this report with another load. */
  StateReport withLoad(LoadReport replacement) {
    return new StateReport(openMillis, evidence, speeds, limits, brittle, replacement);
  }

  /** Returns this report without the pending prompts and the load. */
  StateReport withoutPendingPrompts() {
    return new StateReport(Map.of(), evidence, speeds, limits, brittle, LoadReport.EMPTY);
  }

  /** Returns the number of compared pairs in which the new version was worse. */
  long worsePairs() {
    return evidence.stream().mapToLong(entry -> entry.pairs().worse()).sum();
  }

  /** Returns the number of refuted versions. */
  long refuted() {
    return evidence.stream().filter(VersionEvidence::refuted).count();
  }

  /** Returns whether no prompt is pending, no version is being rolled out and there is no load. */
  boolean isIdle() {
    return openMillis.isEmpty() && evidence.isEmpty() && load.isEmpty();
  }

  /** Validates a report of a peer: returns the reason to reject it, empty if it is valid. */
  Optional<String> problem() {
    if (openMillis == null || evidence == null || speeds == null) {
      return Optional.of("a field of the report is missing");
    }
    int entries =
        openMillis.size() + evidence.size() + speeds.size() + limits.size() + brittle.size();
    if (entries > MAXIMUM_ENTRIES) {
      return Optional.of("the report has " + entries + " entries");
    }
    if (!openMillis.values().stream().allMatch(StateReport::isValidOpenMillis)) {
      return Optional.of("a pending prefill time is negative or too long");
    }
    if (!speeds.values().stream().allMatch(StateReport::isValidSpeed)) {
      return Optional.of("a prefill speed is missing, negative or not finite");
    }
    if (!areValid(limits) || !areValid(brittle)) {
      return Optional.of("a rate limit is missing or invalid");
    }
    return load.problem()
        .or(() -> evidence.stream().flatMap(entry -> problemOf(entry).stream()).findFirst());
  }

  private static Optional<String> problemOf(VersionEvidence evidence) {
    return evidence == null
        ? Optional.of("an entry of the evidence is missing")
        : evidence.problem();
  }

  private static boolean areValid(Map<String, AdvertisedLimit> limits) {
    return limits.values().stream().allMatch(limit -> limit != null && limit.isSound());
  }

  private static boolean isValidOpenMillis(Integer millis) {
    return millis != null && millis >= 0 && millis <= MAXIMUM_OPEN_MILLIS;
  }

  private static boolean isValidSpeed(PrefillTimeModel model) {
    return model != null
        && Double.isFinite(model.fixedMillis())
        && Double.isFinite(model.millisPerToken())
        && model.fixedMillis() >= 0
        && model.millisPerToken() >= 0;
  }
}
