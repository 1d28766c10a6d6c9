// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
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
 * The state by which one instance routes requests to services.
 *
 * <p>Invariants: it shows the newest known state of each object; a configuration of a lower version
 * never replaces one of a higher version, whatever their revisions. An object that cannot be read
 * is passed over with a log line and the one before it stays, but for an entry of an upstream, see
 * {@link Kinds#unusable}. Owned by one event loop, not thread-safe.
 */
public final class GatewayTables implements ObjectSink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** At most a line each so many seconds tells of entries that name no upstream to use. */
  private static final int UNUSABLE_LINES_SECONDS = 1;

  private final InstantSource clock;
  private final ObjectJoin join = ObjectJoin.create(GatewayRules.create());
  private final KnownUpstreams upstreams;
  private final Map<String, ServiceRollout> rollouts = new TreeMap<>();
  private final Map<String, ServiceDefinition> services = new HashMap<>();
  private Optional<RoutingConfiguration> configuration = Optional.empty();
  private RouteIndex routes = RouteIndex.empty();
  private KeyIndex keys = KeyIndex.open();
  private long epoch = StoreEpoch.UNNAMED;
  private Instant epochSince;

  private GatewayTables(InstantSource clock) {
    this.clock = clock;
    this.epochSince = clock.instant();
    this.upstreams = KnownUpstreams.create(clock);
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
    List<StoredObject> fresh = new ArrayList<>();
    for (StoredObject object : objects) {
      noteEpoch(object.revision().epoch());
      Optional<StoredObject> known = join.get(object.key());
      Optional<StoredObject> joined = join.merge(object);
      joined.ifPresent(fresh::add);
      joined.ifPresent(newer -> takeIfChanged(known, newer, origin));
    }
    return fresh;
  }

  private void noteEpoch(long shown) {
    if (shown > epoch) {
      epoch = shown;
      epochSince = clock.instant();
    }
  }

  /** Returns what is known of the store's restores, for an operator. */
  InstanceStatus.Store storeStatus() {
    List<String> retained =
        join.all().stream()
            .filter(StoredObject::retained)
            .map(object -> object.key().toString())
            .toList();
    long awaited = join.all().stream().filter(this::isAwaited).count();
    long since = Duration.between(epochSince, clock.instant()).toMillis();
    return new InstanceStatus.Store(epoch, since, retained, awaited);
  }

  private boolean isAwaited(StoredObject object) {
    return object.revision().epoch() < epoch && !Kinds.isTombstone(object.value());
  }

  /** Takes in an object, unless only its revision changed, as after a restore of the store. */
  private void takeIfChanged(Optional<StoredObject> known, StoredObject newer, Origin origin) {
    if (newer.retained()) {
      logger.atInfo().log(
          "%s revision=%s keeps what was known before the store was restored %s",
          newer.key(), newer.revision(), origin);
    }
    if (known.isEmpty() || !known.get().value().equals(newer.value())) {
      take(newer, origin);
    }
  }

  private void take(StoredObject object, Origin origin) {
    try {
      switch (object.key().kind()) {
        case GatewayKinds.ROUTING -> takeRouting(object, origin);
        case GatewayKinds.UPSTREAM -> takeUpstream(object, origin);
        case GatewayKinds.ROLLOUT -> takeRollout(object, origin);
        case GatewayKinds.EVACUATION -> takeEvacuation(object, origin);
        default -> logger.atWarning().log("object %s is of an unknown kind", object.key());
      }
    } catch (JsonProcessingException e) {
      logger.atWarning().log("object %s is passed over: %s", object.key(), e.getOriginalMessage());
    }
  }

  private void takeRouting(StoredObject object, Origin origin) throws JsonProcessingException {
    if (Kinds.isTombstone(object.value())) {
      return;
    }
    RoutingConfiguration read = Json.STRICT.treeToValue(object.value(), RoutingConfiguration.class);
    configuration = Optional.of(read);
    routes = RouteIndex.of(read.routes());
    keys = read.workspaces().map(KeyIndex::of).orElse(KeyIndex.open());
    services.clear();
    read.services().forEach(service -> services.put(service.name(), service));
    logger.atInfo().log(
        "configuration version=%d revision=%s is in force, %d routes %s",
        read.version(), object.revision(), read.routes().size(), origin);
  }

  private void takeUpstream(StoredObject object, Origin origin) throws JsonProcessingException {
    String name = object.key().name();
    if (Kinds.isTombstone(object.value())) {
      upstreams.remove(name);
      noteGone(object, origin);
      return;
    }
    UpstreamRecord read = Json.STRICT.treeToValue(object.value(), UpstreamRecord.class);
    Optional<UpstreamRecord> known = upstreams.put(name, read);
    if (known.isEmpty() || known.get().leaving() != read.leaving()) {
      logger.atInfo().log(
          "upstream %s revision=%s service=%s version=%s zone=%s leaving=%b cold=%s %s",
          name,
          object.revision(),
          read.service(),
          read.version(),
          read.zone(),
          read.leaving(),
          read.coldMillis(),
          origin);
    }
  }

  private static void noteGone(StoredObject object, Origin origin) {
    Optional<String> problem = Kinds.problemOfUnusable(object.value());
    if (problem.isPresent()) {
      logger.atWarning().atMostEvery(UNUSABLE_LINES_SECONDS, TimeUnit.SECONDS).log(
          "entry %s revision=%s names no upstream to use: %s %s",
          object.key(), object.revision(), problem.get(), origin);
    } else {
      logger.atInfo().log(
          "upstream %s revision=%s is gone %s", object.key().name(), object.revision(), origin);
    }
  }

  private void takeEvacuation(StoredObject object, Origin origin) {
    String zone = object.key().name();
    boolean ends = Kinds.isTombstone(object.value());
    boolean changed =
        ends ? upstreams.takeBackZone(zone, this::service) : upstreams.emptyZone(zone);
    if (changed) {
      logger.atInfo().log(
          "zone %s is %s revision=%s %s",
          zone, ends ? "taken back" : "emptied", object.revision(), origin);
    }
  }

  private void takeRollout(StoredObject object, Origin origin) throws JsonProcessingException {
    String name = object.key().name();
    if (Kinds.isTombstone(object.value())) {
      rollouts.remove(name);
      return;
    }
    ServiceRollout read = Json.STRICT.treeToValue(object.value(), ServiceRollout.class);
    rollouts.put(name, read);
    upstreams.versions().ordered(read.service(), read.targetVersion());
    logger.atInfo().log(
        "roll-out of %s revision=%s to=%s state=%s %s",
        name, object.revision(), read.targetVersion(), read.state(), origin);
  }

  /** Returns the configuration in force, empty before the first one. */
  public Optional<RoutingConfiguration> configuration() {
    return configuration;
  }

  /** Returns the bounds for callers that are in force. */
  public CallerLimits limits() {
    return configuration.map(RoutingConfiguration::limits).orElse(CallerLimits.DEFAULT);
  }

  /** Returns the routes in force. */
  public RouteIndex routes() {
    return routes;
  }

  /** Returns the keys in force. */
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

  /** Returns what was learned of an upstream since its start. */
  public UpstreamRow row(String upstream) {
    return upstreams.row(upstream);
  }

  /** Returns the availability zones whose upstreams shall get nothing. */
  public Set<String> emptiedZones() {
    return upstreams.emptiedZones();
  }

  /** Returns whether the upstream is in an availability zone that shall get nothing. */
  public boolean isEmptied(String upstream) {
    return upstream(upstream).map(this::isEmptied).orElse(false);
  }

  /** Returns whether the upstream is in an availability zone that shall get nothing. */
  boolean isEmptied(UpstreamRecord upstream) {
    return upstreams.isEmptied(upstream);
  }

  /** Notes that all kinds of objects were read: versions that appear from now on need an order. */
  public void allRead() {
    upstreams.versions().allRead();
  }

  /** Returns whether the upstream's version appeared beside another and nobody has ordered it. */
  boolean isUnordered(UpstreamRecord upstream) {
    return upstreams.versions().isUnordered(upstream.service(), upstream.version());
  }

  /** Returns whether a version of some service is being brought in. */
  public boolean isBringingIn() {
    return rollouts.values().stream().anyMatch(ServiceRollout::runs);
  }

  /**
   * Returns the store's revision of what is known of an upstream, {@link StoreRevision#NONE} if
   * nothing is.
   */
  public StoreRevision revisionOf(String upstream) {
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.UPSTREAM, upstream);
    return join.get(key).map(StoredObject::revision).orElse(StoreRevision.NONE);
  }

  /** Returns whether an upstream said that it is about to go, or has gone. */
  public boolean isLeaving(String upstream) {
    return upstream(upstream).map(UpstreamRecord::leaving).orElse(true) || row(upstream).leaving();
  }

  /** Returns the names of the upstreams of a service. */
  public List<String> upstreamsOf(String service) {
    return upstreams.ofService(service);
  }

  /** Returns the names of all upstreams. */
  public Collection<String> upstreamNames() {
    return upstreams.names();
  }

  /** Returns the roll-out of a service. */
  public Optional<ServiceRollout> rollout(String service) {
    return Optional.ofNullable(rollouts.get(service));
  }

  /** Returns whether the store shows an earlier state of a service's roll-out than it reached. */
  boolean isRolloutRetained(String service) {
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.ROLLOUT, service);
    return join.get(key).map(StoredObject::retained).orElse(false);
  }

  /** Returns the services that have a roll-out, running or not. */
  public Collection<String> servicesWithRollout() {
    return rollouts.keySet();
  }

  /** Returns what is known of the load of upstreams. */
  public UpstreamTable loads() {
    return upstreams.loads();
  }
}
