// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.math.BigDecimal;
import java.math.MathContext;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.oatlug.internal.limit.RefusalRecords;

/**
 * Load that one instance or several together observe: the pace of upstreams, the demand of
 * workspaces, the work by rank and the latest refusals. Immutable, thread-safe.
 *
 * <p>Invariant: the number of entries is bounded, whatever the number of instances, upstreams and
 * workspaces.
 *
 * @param paces the lasting pace of upstreams, by upstream process
 * @param workspaces the load of workspaces by name; the empty name stands for all others
 * @param workByRank the prefill work that arrives, in milliseconds per second, by {@link #rankKey}
 * @param reporters the number of instances that report the load of workspaces
 * @param refused the latest refusals, the newest first
 * @param crowded the number of instances that hold connections of callers back
 */
public record LoadReport(
    Map<String, PaceObservation> paces,
    Map<String, WorkspaceLoad> workspaces,
    Map<String, Integer> workByRank,
    int reporters,
    List<RefusedRequest> refused,
    int crowded) {
  /** A report without observations. */
  public static final LoadReport EMPTY = new LoadReport(Map.of(), Map.of(), Map.of());

  /** The key under which the workspaces that are not listed are summed. */
  public static final String OTHER_WORKSPACES = "";

  static final int MAXIMUM_PACES = 128;
  static final int MAXIMUM_WORKSPACES = 64;
  static final int MAXIMUM_RANKS = 256;

  /** The maximum number of refusals that an instance reports of its own. */
  static final int MAXIMUM_OWN_REFUSED = 64;

  /** The maximum number of refusals of several instances. */
  static final int MAXIMUM_REFUSED = 256;

  /** The weight of a pace that further samples hardly change. */
  private static final int MAXIMUM_SAMPLES = 1_000_000;

  /** More work per second than all engines of the design size can do. */
  private static final int MAXIMUM_MILLIS = 100_000_000;

  /** More work per second than the callers of the design size can ask for, in tokens. */
  private static final float MAXIMUM_LOAD = 1e12f;

  /** Several times the number of instances at the design size. */
  private static final int MAXIMUM_REPORTERS = 10_000;

  /** Replaces missing components, as sent by an instance of an earlier version, by empty ones. */
  public LoadReport {
    paces = paces == null ? Map.of() : paces;
    workspaces = workspaces == null ? Map.of() : workspaces;
    workByRank = workByRank == null ? Map.of() : workByRank;
    refused = refused == null ? List.of() : refused;
  }

  /** Creates a report without the load of workspaces, or with that of instances not counted. */
  public LoadReport(
      Map<String, PaceObservation> paces,
      Map<String, WorkspaceLoad> workspaces,
      Map<String, Integer> workByRank) {
    this(paces, workspaces, workByRank, 0);
  }

  /** Creates a report without refusals. */
  public LoadReport(
      Map<String, PaceObservation> paces,
      Map<String, WorkspaceLoad> workspaces,
      Map<String, Integer> workByRank,
      int reporters) {
    this(paces, workspaces, workByRank, reporters, List.of(), 0);
  }

  /**
   * A refused request whose caller may return. Encoded as an array, since a report may have many of
   * these.
   *
   * @param content the hash of its content
   * @param untilMillis the time until the caller may return; negative afterwards
   * @param ageMillis the time since the refusal
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record RefusedRequest(long content, int untilMillis, int ageMillis) {
    private static final int VALID_MILLIS = (int) RefusalRecords.VALIDITY.toMillis();
    private static final int MAXIMUM_DELAY_MILLIS = (int) RefusalRecords.MAXIMUM_DELAY.toMillis();

    private RefusedRequest aged(int millis) {
      return new RefusedRequest(content, untilMillis - millis, ageMillis + millis);
    }

    private boolean isExpired() {
      return untilMillis < -VALID_MILLIS;
    }

    private boolean isValid() {
      return untilMillis >= -VALID_MILLIS
          && untilMillis <= MAXIMUM_DELAY_MILLIS
          && ageMillis >= 0
          && ageMillis <= MAXIMUM_DELAY_MILLIS + VALID_MILLIS;
    }
  }

  /** Returns refusals in the order of reports. */
  static List<RefusedRequest> newestFirst(Collection<RefusedRequest> refusals) {
    return refusals.stream().sorted(Comparator.comparingInt(RefusedRequest::ageMillis)).toList();
  }

  /** Merges two lists in linear time; of two refusals of the same content the newer one counts. */
  private static List<RefusedRequest> mergeRefused(
      List<RefusedRequest> left, List<RefusedRequest> right) {
    if (left.isEmpty() || right.isEmpty()) {
      return left.isEmpty() ? right : left;
    }
    Map<Long, RefusedRequest> merged = new LinkedHashMap<>();
    int leftIndex = 0;
    int rightIndex = 0;
    while (merged.size() < MAXIMUM_REFUSED
        && (leftIndex < left.size() || rightIndex < right.size())) {
      boolean takesLeft =
          rightIndex >= right.size()
              || leftIndex < left.size()
                  && left.get(leftIndex).ageMillis() <= right.get(rightIndex).ageMillis();
      RefusedRequest next = takesLeft ? left.get(leftIndex++) : right.get(rightIndex++);
      merged.putIfAbsent(next.content(), next);
    }
    return List.copyOf(merged.values());
  }

  /** Returns this report with the ages of refusals increased, and without expired ones. */
  LoadReport aged(Duration elapsed) {
    if (refused.isEmpty()) {
      return this;
    }
    int millis = (int) Math.min(Integer.MAX_VALUE / 2, elapsed.toMillis());
    return withRefused(
        refused.stream()
            .map(entry -> entry.aged(millis))
            .filter(entry -> !entry.isExpired())
            .toList());
  }

  /** Returns this report with other refusals. */
  public LoadReport withRefused(List<RefusedRequest> replacement) {
    return new LoadReport(paces, workspaces, workByRank, reporters, replacement, crowded);
  }

  /** Returns this report with another number of crowded instances. */
  public LoadReport withCrowded(int replacement) {
    return new LoadReport(paces, workspaces, workByRank, reporters, refused, replacement);
  }

  /** Returns a report of refusals only. */
  static LoadReport ofRefused(List<RefusedRequest> refused) {
    return EMPTY.withRefused(refused);
  }

  /**
   * Pace of an upstream process.
   *
   * @param pace the factor by which it takes longer than its peers, 1 for as long as they
   * @param samples the number of responses that the pace is based on
   */
  public record PaceObservation(double pace, int samples) {
    /** Returns the mean of both paces, weighted by their samples. */
    PaceObservation join(PaceObservation other) {
      int sum = Math.min(MAXIMUM_SAMPLES, samples + other.samples);
      double logarithm =
          (samples * Math.log(pace) + other.samples * Math.log(other.pace))
              / (samples + other.samples);
      return new PaceObservation(Math.exp(logarithm), sum);
    }

    private boolean isValid() {
      return Double.isFinite(pace) && pace > 0 && samples > 0 && samples <= MAXIMUM_SAMPLES;
    }
  }

  /**
   * Load of a workspace, in units of work per second. Encoded as an array, since a report may have
   * many of these.
   *
   * @param demand the work that its callers ask for now
   * @param usual the work that they usually ask for
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record WorkspaceLoad(float demand, float usual) {
    private static final MathContext PRECISION = new MathContext(3);

    /** Returns a load with three significant digits, to keep reports short. */
    public static WorkspaceLoad rounded(double demand, double usual) {
      return new WorkspaceLoad(round(demand), round(usual));
    }

    private static float round(double value) {
      return new BigDecimal(value).round(PRECISION).floatValue();
    }

    private WorkspaceLoad minus(WorkspaceLoad other) {
      return new WorkspaceLoad(
          Math.max(0, demand - other.demand), Math.max(0, usual - other.usual));
    }

    /** Returns the sum of both loads. */
    public WorkspaceLoad plus(WorkspaceLoad other) {
      return new WorkspaceLoad(
          Math.min(MAXIMUM_LOAD, demand + other.demand),
          Math.min(MAXIMUM_LOAD, usual + other.usual));
    }

    private boolean isValid() {
      return demand >= 0 && demand <= MAXIMUM_LOAD && usual >= 0 && usual <= MAXIMUM_LOAD;
    }
  }

  /** Returns the key of the work of a service at a rank. */
  public static String rankKey(String service, int rank) {
    return service + "/" + rank;
  }

  /** Returns the sum of two reports of different instances, cut to the bounds. */
  LoadReport plus(LoadReport other) {
    return new LoadReport(
            merge(paces, other.paces, PaceObservation::join),
            merge(workspaces, other.workspaces, WorkspaceLoad::plus),
            merge(workByRank, other.workByRank, LoadReport::saturatedSum),
            Math.min(MAXIMUM_REPORTERS, reporters + other.reporters),
            mergeRefused(refused, other.refused),
            Math.min(MAXIMUM_REPORTERS, crowded + other.crowded))
        .bounded();
  }

  /**
   * Returns this sum without one of the reports that it consists of. Paces, which are means, keep
   * that report's part.
   */
  LoadReport minus(LoadReport part) {
    Map<String, WorkspaceLoad> others = new TreeMap<>(workspaces);
    part.workspaces.forEach(
        (name, load) ->
            others.computeIfPresent(
                workspaces.containsKey(name) ? name : OTHER_WORKSPACES,
                (unused, sum) -> sum.minus(load)));
    Map<String, Integer> ranks = new TreeMap<>(workByRank);
    part.workByRank.forEach(
        (key, millis) -> ranks.computeIfPresent(key, (unused, sum) -> Math.max(0, sum - millis)));
    return new LoadReport(
        paces,
        others,
        ranks,
        Math.max(0, reporters - part.reporters),
        refusedExcept(part),
        Math.max(0, crowded - part.crowded));
  }

  private List<RefusedRequest> refusedExcept(LoadReport part) {
    if (refused.isEmpty() || part.refused.isEmpty()) {
      return refused;
    }
    Set<Long> own = part.refused.stream().map(RefusedRequest::content).collect(Collectors.toSet());
    return refused.stream().filter(entry -> !own.contains(entry.content())).toList();
  }

  /**
   * Returns this report with at most the entries that a message may hold: the paces farthest from 1
   * and the workspaces of the highest demand, the others summed; the newest refusals.
   */
  public LoadReport bounded() {
    if (paces.size() <= MAXIMUM_PACES
        && workspaces.size() <= MAXIMUM_WORKSPACES
        && workByRank.size() <= MAXIMUM_RANKS
        && refused.size() <= MAXIMUM_REFUSED) {
      return this;
    }
    return new LoadReport(
        highest(paces, MAXIMUM_PACES, entry -> Math.abs(Math.log(entry.pace()))),
        boundedWorkspaces(),
        highest(workByRank, MAXIMUM_RANKS, Integer::doubleValue),
        reporters,
        refused.stream().limit(MAXIMUM_REFUSED).toList(),
        crowded);
  }

  private Map<String, WorkspaceLoad> boundedWorkspaces() {
    if (workspaces.size() <= MAXIMUM_WORKSPACES) {
      return workspaces;
    }
    Map<String, WorkspaceLoad> named = new TreeMap<>(workspaces);
    Optional<WorkspaceLoad> others = Optional.ofNullable(named.remove(OTHER_WORKSPACES));
    Map<String, WorkspaceLoad> kept = highest(named, MAXIMUM_WORKSPACES - 1, WorkspaceLoad::demand);
    WorkspaceLoad sum = others.orElse(new WorkspaceLoad(0, 0));
    for (Map.Entry<String, WorkspaceLoad> entry : named.entrySet()) {
      sum = kept.containsKey(entry.getKey()) ? sum : sum.plus(entry.getValue());
    }
    kept.put(OTHER_WORKSPACES, sum);
    return kept;
  }

  private static int saturatedSum(int left, int right) {
    return Math.min(MAXIMUM_MILLIS, left + right);
  }

  private static <T> Map<String, T> merge(
      Map<String, T> left, Map<String, T> right, BinaryOperator<T> sum) {
    if (left.isEmpty() || right.isEmpty()) {
      return left.isEmpty() ? right : left;
    }
    Map<String, T> merged = new TreeMap<>(left);
    right.forEach((key, value) -> merged.merge(key, value, sum));
    return merged;
  }

  private static <T> Map<String, T> highest(
      Map<String, T> entries, int maximum, ToDoubleFunction<T> weight) {
    Map<String, T> kept = new TreeMap<>();
    if (entries.size() <= maximum) {
      kept.putAll(entries);
      return kept;
    }
    entries.entrySet().stream()
        .sorted(
            Comparator.<Map.Entry<String, T>>comparingDouble(
                    entry -> weight.applyAsDouble(entry.getValue()))
                .reversed())
        .limit(maximum)
        .forEach(entry -> kept.put(entry.getKey(), entry.getValue()));
    return kept;
  }

  /**
   * Returns whether nothing is observed and no instance is counted. Refusals do not matter, as
   * reports are not sent more often because of them.
   */
  boolean isEmpty() {
    return reporters == 0
        && crowded == 0
        && paces.isEmpty()
        && workspaces.isEmpty()
        && workByRank.isEmpty();
  }

  /** Validates a report of a peer: returns the reason to reject it, empty if it is valid. */
  Optional<String> problem() {
    if (paces.size() > MAXIMUM_PACES
        || workspaces.size() > MAXIMUM_WORKSPACES
        || workByRank.size() > MAXIMUM_RANKS
        || refused.size() > MAXIMUM_REFUSED) {
      return Optional.of("the load report has too many entries");
    }
    boolean valid =
        paces.values().stream().allMatch(pace -> pace != null && pace.isValid())
            && workspaces.values().stream().allMatch(load -> load != null && load.isValid())
            && workByRank.values().stream()
                .allMatch(millis -> millis != null && millis >= 0 && millis <= MAXIMUM_MILLIS)
            && refused.stream().allMatch(entry -> entry != null && entry.isValid())
            && reporters >= 0
            && reporters <= MAXIMUM_REPORTERS
            && crowded >= 0
            && crowded <= MAXIMUM_REPORTERS;
    return valid ? Optional.empty() : Optional.of("an entry of the load report is invalid");
  }
}
