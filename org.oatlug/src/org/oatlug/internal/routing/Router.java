// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oatlug.api.RefusalReason;
import org.oatlug.api.VersionState;
import org.oatlug.config.Cascade;
import org.oatlug.config.Rollout;
import org.oatlug.config.Upstream;
import org.oatlug.config.Version;
import org.oatlug.config.Workspace;
import org.oatlug.internal.cascade.StageChooser;
import org.oatlug.internal.config.PolicyProgram;
import org.oatlug.internal.limit.CapacityRule;
import org.oatlug.internal.routing.RoutingDecision.PassedOver;
import org.oatlug.internal.routing.RoutingDecision.Reason;
import org.oatlug.internal.routing.RoutingDecision.Route;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.table.UpstreamRow;

/**
 * Selects the model, version and upstream for a request.
 *
 * <p>Invariants: at the time of the decision the version of a route is allowed by the policy of the
 * workspace and not withdrawn; a session that is bound to a version of the model gets that version
 * or a refusal; a missing referenced object denies the request. The decision modifies no table,
 * except that it creates the empty row of an upstream without one. Owned by one event loop, not
 * thread-safe.
 */
public final class Router {
  private static final int PERCENT = 100;

  private final String zone;
  private final StageChooser stageChooser;
  private final UpstreamChooser upstreamChooser;
  private final CapacityRule capacity;
  private final RandomGenerator random;

  private Router(
      String zone,
      StageChooser stageChooser,
      UpstreamChooser upstreamChooser,
      CapacityRule capacity,
      RandomGenerator random) {
    this.zone = zone;
    this.stageChooser = stageChooser;
    this.upstreamChooser = upstreamChooser;
    this.capacity = capacity;
    this.random = random;
  }

  /**
   * Returns a router.
   *
   * @param zone the availability zone of this instance
   * @param stageChooser the policy that selects the stage of a cascade
   * @param upstreamChooser the policy that selects an upstream
   * @param capacity the rule that determines which upstreams are full
   * @param random the random number generator
   */
  public static Router create(
      String zone,
      StageChooser stageChooser,
      UpstreamChooser upstreamChooser,
      CapacityRule capacity,
      RandomGenerator random) {
    return new Router(zone, stageChooser, upstreamChooser, capacity, random);
  }

  /** Returns the decision for a request to a model or cascade by the current tables. */
  public RoutingDecision decide(RouteRequest request, Tables tables, Instant now) {
    List<PassedOver> passedOver = new ArrayList<>();
    Optional<Cascade> cascade = tables.catalogue().cascade(request.target());
    if (cascade.isPresent()) {
      return decideCascade(request, cascade.get(), tables, now, passedOver);
    }
    if (!tables.catalogue().hasModel(request.target())) {
      return RoutingDecision.refused(RefusalReason.MODEL_UNKNOWN, passedOver);
    }
    return decideModel(request, request.target(), 0, tables, now, passedOver);
  }

  /** Returns the decision for a request to a plain service by the current tables. */
  public RoutingDecision decideService(RouteRequest request, Tables tables, Instant now) {
    List<PassedOver> passedOver = new ArrayList<>();
    return chooseUpstream(request, "", request.target(), 0, tables, now, passedOver);
  }

  /**
   * Returns whether a route is still allowed; callers check it right before they write to the
   * upstream.
   *
   * @param newSession whether the session was not bound to the version before the request
   */
  public boolean stillAllowed(
      RouteRequest request, Route route, Tables tables, boolean newSession) {
    Optional<Version> version = tables.catalogue().version(route.version());
    if (version.isEmpty() || version.get().state() == VersionState.WITHDRAWN) {
      return false;
    }
    boolean retiring = version.get().state() == VersionState.RETIRING;
    return allowed(request, route.model(), route.version(), tables) && !(retiring && newSession);
  }

  private RoutingDecision decideCascade(
      RouteRequest request,
      Cascade cascade,
      Tables tables,
      Instant now,
      List<PassedOver> passedOver) {
    for (int stage = cascade.stages().size() - 1; stage >= request.minimumStage(); stage--) {
      String boundModel = cascade.stages().get(stage);
      if (request.session().containsKey(boundModel)) {
        return decideModel(request, boundModel, stage, tables, now, passedOver);
      }
    }
    int chosen =
        stageChooser.choose(cascade, request.workspace(), request.task(), tables.ratings(), random);
    int start = Math.max(chosen, request.minimumStage());
    List<Integer> order = stageOrder(start, request.minimumStage(), cascade.stages().size());
    RoutingDecision stageDecision = RoutingDecision.refused(RefusalReason.NO_UPSTREAM, passedOver);
    for (int stage : order) {
      String model = cascade.stages().get(stage);
      stageDecision = decideModel(request, model, stage, tables, now, passedOver);
      if (stageDecision.route().isPresent() || isFinal(stageDecision)) {
        return stageDecision;
      }
    }
    return stageDecision;
  }

  private static boolean isFinal(RoutingDecision decision) {
    return decision.refusal().equals(Optional.of(RefusalReason.VERSION_WITHDRAWN));
  }

  private static List<Integer> stageOrder(int start, int minimum, int size) {
    List<Integer> order = new ArrayList<>();
    for (int stage = start; stage < size; stage++) {
      order.add(stage);
    }
    for (int stage = Math.min(start, size) - 1; stage >= minimum; stage--) {
      order.add(stage);
    }
    return order;
  }

  private RoutingDecision decideModel(
      RouteRequest request,
      String model,
      int stage,
      Tables tables,
      Instant now,
      List<PassedOver> passedOver) {
    String boundVersion = request.session().get(model);
    if (boundVersion != null) {
      return decideBound(request, model, boundVersion, stage, tables, now, passedOver);
    }
    for (String version : newSessionVersions(model, tables, now, passedOver)) {
      if (!allowed(request, model, version, tables)) {
        passedOver.add(new PassedOver(version, Reason.DENIED_BY_POLICY));
        continue;
      }
      RoutingDecision decision =
          chooseUpstream(request, model, version, stage, tables, now, passedOver);
      if (decision.route().isPresent()) {
        return decision;
      }
    }
    return RoutingDecision.refused(refusalReason(passedOver), passedOver);
  }

  /**
   * Returns the reason about which the caller can do the most: it can wait for a slot on overload,
   * ask for less on a denial by policy, and otherwise only come back later.
   */
  private static RefusalReason refusalReason(List<PassedOver> passedOver) {
    if (passedOver.stream().anyMatch(passed -> passed.reason() == Reason.UPSTREAM_FULL)) {
      return RefusalReason.OVERLOADED;
    }
    boolean denied =
        passedOver.stream().anyMatch(passed -> passed.reason() == Reason.DENIED_BY_POLICY);
    return denied ? RefusalReason.NOT_ALLOWED : RefusalReason.NO_UPSTREAM;
  }

  private RoutingDecision decideBound(
      RouteRequest request,
      String model,
      String version,
      int stage,
      Tables tables,
      Instant now,
      List<PassedOver> passedOver) {
    Optional<Version> storedVersion = tables.catalogue().version(version);
    if (storedVersion.isEmpty() || storedVersion.get().state() == VersionState.WITHDRAWN) {
      passedOver.add(new PassedOver(version, Reason.VERSION_WITHDRAWN));
      return RoutingDecision.refused(RefusalReason.VERSION_WITHDRAWN, passedOver);
    }
    if (!allowed(request, model, version, tables)) {
      passedOver.add(new PassedOver(version, Reason.DENIED_BY_POLICY));
      return RoutingDecision.refused(RefusalReason.NOT_ALLOWED, passedOver);
    }
    return chooseUpstream(request, model, version, stage, tables, now, passedOver);
  }

  /** Returns the eligible versions for a new session in order of preference. */
  private List<String> newSessionVersions(
      String model, Tables tables, Instant now, List<PassedOver> passedOver) {
    List<String> versions = new ArrayList<>();
    sampledCandidate(model, tables, now, passedOver).ifPresent(versions::add);
    Optional<String> current = tables.catalogue().currentVersion(model);
    if (current.isEmpty()) {
      passedOver.add(new PassedOver(model, Reason.NO_CURRENT_VERSION));
    }
    current.ifPresent(versions::add);
    return versions;
  }

  /** Returns the candidate if it may serve this session and the session is in its share. */
  private Optional<String> sampledCandidate(
      String model, Tables tables, Instant now, List<PassedOver> passedOver) {
    Optional<Rollout> rollout = tables.catalogue().rollout(model);
    if (rollout.isEmpty()) {
      return Optional.empty();
    }
    String candidate = rollout.get().candidate();
    Optional<Version> storedVersion = tables.catalogue().version(candidate);
    boolean isCandidate =
        storedVersion.map(Version::state).equals(Optional.of(VersionState.CANDIDATE));
    boolean halted = rollout.get().state() == Rollout.State.HALTED;
    if (!isCandidate) {
      return Optional.empty();
    }
    if (halted || tables.locallyHalted().contains(candidate)) {
      passedOver.add(new PassedOver(candidate, Reason.CANDIDATE_HALTED));
      return Optional.empty();
    }
    if (!tables.freshness().isFresh(now)) {
      passedOver.add(new PassedOver(candidate, Reason.CONFIGURATION_STALE));
      return Optional.empty();
    }
    boolean sampled = random.nextInt(PERCENT) < rollout.get().weightPercent();
    return sampled ? Optional.of(candidate) : Optional.empty();
  }

  private static boolean allowed(
      RouteRequest request, String model, String version, Tables tables) {
    Optional<Workspace> workspace = tables.catalogue().workspace(request.workspace());
    if (workspace.isEmpty()) {
      return false;
    }
    Optional<PolicyProgram> program = tables.catalogue().program(workspace.get().policy());
    PolicyProgram.Subject subject =
        new PolicyProgram.Subject(
            request.workspace(), model, version, request.task(), workspace.get().priority());
    return program.map(policy -> policy.allows(subject)).orElse(false);
  }

  private RoutingDecision chooseUpstream(
      RouteRequest request,
      String model,
      String version,
      int stage,
      Tables tables,
      Instant now,
      List<PassedOver> passedOver) {
    List<UpstreamChooser.Candidate> candidates = new ArrayList<>();
    boolean anyFull = false;
    for (String name : tables.catalogue().upstreamsServing(version)) {
      Upstream upstream = tables.catalogue().upstream(name).orElseThrow();
      UpstreamRow row = tables.upstreams().row(name);
      Optional<Reason> exclusionReason = exclusionReason(request, upstream, row, now);
      if (exclusionReason.isPresent()) {
        passedOver.add(new PassedOver(name, exclusionReason.get()));
        continue;
      }
      if (capacity.isFull(tables.upstreams(), row, upstream)) {
        passedOver.add(new PassedOver(name, Reason.UPSTREAM_FULL));
        anyFull = true;
        continue;
      }
      boolean local = upstream.zone().equals(zone);
      candidates.add(new UpstreamChooser.Candidate(row, upstream, local));
    }
    if (candidates.isEmpty()) {
      RefusalReason reason = anyFull ? RefusalReason.OVERLOADED : RefusalReason.NO_UPSTREAM;
      return RoutingDecision.refused(reason, passedOver);
    }
    UpstreamChooser.Candidate chosenUpstream =
        upstreamChooser.choose(candidates, request, tables.upstreams(), random);
    for (UpstreamChooser.Candidate candidate : candidates) {
      if (candidate != chosenUpstream) {
        passedOver.add(new PassedOver(candidate.row().name(), Reason.UPSTREAM_COSTLIER));
      }
    }
    Route route = new Route(model, version, chosenUpstream.row().name(), stage);
    return RoutingDecision.routed(route, passedOver);
  }

  private static Optional<Reason> exclusionReason(
      RouteRequest request, Upstream upstream, UpstreamRow row, Instant now) {
    if (upstream.leaving() || row.isLeaving()) {
      return Optional.of(Reason.UPSTREAM_LEAVING);
    }
    if (request.excluded().contains(row.name())) {
      return Optional.of(Reason.UPSTREAM_FAILED_BEFORE);
    }
    if (row.isBackingOff(now)) {
      return Optional.of(Reason.UPSTREAM_RESTS);
    }
    if (row.isEjected(now)) {
      return Optional.of(Reason.UPSTREAM_EJECTED);
    }
    return Optional.empty();
  }
}
