// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.config.ObjectJoin;
import org.oatlug.internal.config.ObjectSink;
import org.oatlug.internal.config.Origin;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.table.UpstreamTable;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Holds the state by which one instance routes requests to services.
 *
 * <p>Invariants: each object has its newest known state; a configuration of a lower version never
 * replaces one of a higher version, whatever their revisions. An object that cannot be decoded is
 * logged and ignored, and its previous state stays in force; for an upstream's entry see {@link
 * Kinds#unusable}. Owned by one event loop, not thread-safe.
 */
public final class GatewayTables implements ObjectSink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The minimum interval between log lines about unusable upstream entries, in seconds. */
  private static final int UNUSABLE_LOG_INTERVAL_SECONDS = 1;

  private final InstantSource clock;
  private final ObjectJoin join = ObjectJoin.create(GatewayRules.create());
  private final UpstreamRegistry upstreams;
  private final Map<String, ServiceRollout> rollouts = new TreeMap<>();
  private final Map<String, ServiceDefinition> services = new HashMap<>();
  private Optional<RoutingConfiguration> configuration = Optional.empty();
  private RouteIndex routes = RouteIndex.empty();
  private DeferrableRoutes deferrableRoutes = DeferrableRoutes.of(List.of());
  private Optional<Duration> shortestGoal = Optional.empty();
  private KeyIndex keys = KeyIndex.notRequired();
  private long epoch = StoreEpoch.UNREPORTED;
  private Instant epochSince;

  private GatewayTables(InstantSource clock) {
    this.clock = clock;
    this.epochSince = clock.instant();
    this.upstreams = UpstreamRegistry.create(clock);
  }

  /** Returns empty tables. */
  public static GatewayTables create(InstantSource clock) {
    return new GatewayTables(clock);
  }

  @Override
  public ObjectJoin join() {
    return join;
  }

  @Override
  public List<StoredObject> mergeAll(List<StoredObject> objects, Origin origin) {
    List<StoredObject> changed = new ArrayList<>();
    for (StoredObject object : objects) {
      updateEpoch(object.revision().epoch());
      Optional<StoredObject> previous = join.get(object.key());
      Optional<StoredObject> joined = join.merge(object);
      joined.ifPresent(changed::add);
      joined.ifPresent(newer -> applyIfChanged(previous, newer, origin));
    }
    return changed;
  }

  private void updateEpoch(long observedEpoch) {
    if (observedEpoch > epoch) {
      epoch = observedEpoch;
      epochSince = clock.instant();
    }
  }

  /** Returns the store epoch and the effects of store restores, for operators. */
  InstanceStatus.Store storeStatus() {
    List<String> retained =
        join.all().stream()
            .filter(StoredObject::retained)
            .map(object -> object.key().toString())
            .toList();
    long earlierEpochCount = join.all().stream().filter(this::isOfEarlierEpoch).count();
    long sinceMillis = Duration.between(epochSince, clock.instant()).toMillis();
    return new InstanceStatus.Store(epoch, sinceMillis, retained, earlierEpochCount);
  }

  private boolean isOfEarlierEpoch(StoredObject object) {
    return object.revision().epoch() < epoch && !Kinds.isTombstone(object.value());
  }

  /** Applies an object unless only its revision changed, as after a restore of the store. */
  private void applyIfChanged(Optional<StoredObject> previous, StoredObject newer, Origin origin) {
    if (newer.retained()) {
      logger.atInfo().log(
          "%s revision=%s retains the content known before the store was restored %s",
          newer.key(), newer.revision(), origin);
    }
    if (previous.isEmpty() || !previous.get().value().equals(newer.value())) {
      apply(newer, origin);
    }
  }

  private void apply(StoredObject object, Origin origin) {
    try {
      switch (object.key().kind()) {
        case GatewayKinds.ROUTING -> applyRouting(object, origin);
        case GatewayKinds.UPSTREAM -> applyUpstream(object, origin);
        case GatewayKinds.ROLLOUT -> applyRollout(object, origin);
        case GatewayKinds.EVACUATION -> applyEvacuation(object, origin);
        default -> logger.atWarning().log("object %s has an unknown kind", object.key());
      }
    } catch (JsonProcessingException e) {
      logger.atWarning().log("object %s is ignored: %s", object.key(), e.getOriginalMessage());
    }
  }

  private void applyRouting(StoredObject object, Origin origin) throws JsonProcessingException {
    if (Kinds.isTombstone(object.value())) {
      return;
    }
    RoutingConfiguration parsed =
        Json.STRICT.treeToValue(object.value(), RoutingConfiguration.class);
    configuration = Optional.of(parsed);
    routes = RouteIndex.of(parsed.routes());
    deferrableRoutes = DeferrableRoutes.of(parsed.routes());
    shortestGoal =
        parsed.routes().stream()
            .map(route -> Duration.ofMillis(route.goalMillis()))
            .filter(goal -> !goal.isZero())
            .min(Comparator.naturalOrder());
    keys = parsed.workspaces().map(KeyIndex::of).orElse(KeyIndex.notRequired());
    services.clear();
    parsed.services().forEach(service -> services.put(service.name(), service));
    logger.atInfo().log(
        "configuration version=%d revision=%s is in force, %d routes %s",
        parsed.version(), object.revision(), parsed.routes().size(), origin);
  }

  private void applyUpstream(StoredObject object, Origin origin) throws JsonProcessingException {
    String name = object.key().name();
    if (Kinds.isTombstone(object.value())) {
      upstreams.remove(name);
      logRemoval(object, origin);
      return;
    }
    UpstreamRecord parsed = Json.STRICT.treeToValue(object.value(), UpstreamRecord.class);
    Optional<UpstreamRecord> previous = upstreams.put(name, parsed);
    if (previous.isEmpty() || previous.get().leaving() != parsed.leaving()) {
      logger.atInfo().log(
          "upstream %s revision=%s service=%s version=%s zone=%s leaving=%b cold=%s %s",
          name,
          object.revision(),
          parsed.service(),
          parsed.version(),
          parsed.zone(),
          parsed.leaving(),
          parsed.coldMillis(),
          origin);
    }
  }

  private static void logRemoval(StoredObject object, Origin origin) {
    Optional<String> problem = Kinds.problemOfUnusable(object.value());
    if (problem.isPresent()) {
      logger.atWarning().atMostEvery(UNUSABLE_LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "entry %s revision=%s is unusable as an upstream: %s %s",
          object.key(), object.revision(), problem.get(), origin);
    } else {
      logger.atInfo().log(
          "upstream %s revision=%s is removed %s", object.key().name(), object.revision(), origin);
    }
  }

  private void applyEvacuation(StoredObject object, Origin origin) {
    String zone = object.key().name();
    boolean ended = Kinds.isTombstone(object.value());
    boolean changed =
        ended ? upstreams.endEvacuation(zone, this::service) : upstreams.evacuateZone(zone);
    if (changed) {
      logger.atInfo().log(
          "availability zone %s %s revision=%s %s",
          zone, ended ? "is no longer evacuated" : "is evacuated", object.revision(), origin);
    }
  }

  private void applyRollout(StoredObject object, Origin origin) throws JsonProcessingException {
    String name = object.key().name();
    if (Kinds.isTombstone(object.value())) {
      rollouts.remove(name);
      return;
    }
    ServiceRollout parsed = Json.STRICT.treeToValue(object.value(), ServiceRollout.class);
    rollouts.put(name, parsed);
    upstreams.versions().recordOrder(parsed.service(), parsed.targetVersion());
    logger.atInfo().log(
        "roll-out of %s revision=%s to=%s state=%s %s",
        name, object.revision(), parsed.targetVersion(), parsed.state(), origin);
  }

  /** Returns the configuration in force, empty until the first one is read. */
  public Optional<RoutingConfiguration> configuration() {
    return configuration;
  }

  /** Returns the caller limits in force, the defaults if there is no configuration. */
  public CallerLimits limits() {
    return configuration.map(RoutingConfiguration::limits).orElse(CallerLimits.DEFAULT);
  }

  /** Returns the routes in force. */
  public RouteIndex routes() {
    return routes;
  }

  /** Returns the routes in force whose requests may be delayed in favour of more urgent ones. */
  public DeferrableRoutes deferrableRoutes() {
    return deferrableRoutes;
  }

  /** Returns the shortest goal of the routes in force, empty if none has a goal. */
  Optional<Duration> shortestGoal() {
    return shortestGoal;
  }

  /** Returns the caller keys in force. */
  public KeyIndex keys() {
    return keys;
  }

  /** Returns the service of this name. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the upstream of this name. */
  public Optional<UpstreamRecord> upstream(String name) {
    return upstreams.record(name);
  }

  /** Returns the runtime state of an upstream, collected since its start. */
  public UpstreamRow row(String upstream) {
    return upstreams.row(upstream);
  }

  /** Returns the evacuated availability zones, whose upstreams receive no requests. */
  public Set<String> evacuatedZones() {
    return upstreams.evacuatedZones();
  }

  /** Returns whether the upstream is in an evacuated availability zone. */
  public boolean isInEvacuatedZone(String upstream) {
    return upstream(upstream).map(this::isInEvacuatedZone).orElse(false);
  }

  /** Returns whether the upstream is in an evacuated availability zone. */
  boolean isInEvacuatedZone(UpstreamRecord upstream) {
    return upstreams.isInEvacuatedZone(upstream);
  }

  /**
   * Records that all kinds of objects were read; versions that appear from now on need a roll-out
   * order.
   */
  public void completeInitialRead() {
    upstreams.versions().completeInitialRead();
  }

  /**
   * Returns whether the upstream's version appeared beside another version and no roll-out order
   * names it.
   */
  boolean lacksRolloutOrder(UpstreamRecord upstream) {
    return upstreams.versions().lacksRolloutOrder(upstream.service(), upstream.version());
  }

  /** Returns whether any service has a running roll-out. */
  public boolean hasRunningRollout() {
    return rollouts.values().stream().anyMatch(ServiceRollout::runs);
  }

  /**
   * Returns the store revision of the known entry of an upstream, {@link StoreRevision#NONE} if
   * there is none.
   */
  public StoreRevision revisionOf(String upstream) {
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.UPSTREAM, upstream);
    return join.get(key).map(StoredObject::revision).orElse(StoreRevision.NONE);
  }

  /** Returns whether an upstream has announced that it is leaving, or is not registered. */
  public boolean isLeaving(String upstream) {
    return upstream(upstream).map(UpstreamRecord::leaving).orElse(true)
        || row(upstream).isLeaving();
  }

  /** Returns the names of the upstreams of a service. */
  public List<String> upstreamsOf(String service) {
    return upstreams.ofService(service);
  }

  /** Returns the names of the upstreams of a service that have not announced that they leave. */
  List<String> remainingUpstreamsOf(String service) {
    return upstreamsOf(service).stream().filter(name -> !isLeaving(name)).toList();
  }

  /** Returns the addresses of the upstreams of a service that are not leaving, by name. */
  public Map<String, SocketAddress> addressesOf(String service) {
    Map<String, SocketAddress> addresses = new TreeMap<>();
    for (String name : remainingUpstreamsOf(service)) {
      upstream(name)
          .ifPresent(
              record ->
                  addresses.put(
                      name, SocketAddress.inetSocketAddress(record.port(), record.host())));
    }
    return addresses;
  }

  /** Returns the names of all upstreams. */
  public Collection<String> upstreamNames() {
    return upstreams.names();
  }

  /** Returns the roll-out of a service. */
  public Optional<ServiceRollout> rollout(String service) {
    return Optional.ofNullable(rollouts.get(service));
  }

  /**
   * Returns whether the store, after a restore, holds an earlier state of a service's roll-out than
   * the one that this instance retains.
   */
  boolean isRolloutRetained(String service) {
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.ROLLOUT, service);
    return join.get(key).map(StoredObject::retained).orElse(false);
  }

  /** Returns the services that have a roll-out, running or not. */
  public Collection<String> servicesWithRollout() {
    return rollouts.keySet();
  }

  /** Returns the load of the upstreams as this instance knows it. */
  public UpstreamTable upstreamTable() {
    return upstreams.upstreamTable();
  }
}
