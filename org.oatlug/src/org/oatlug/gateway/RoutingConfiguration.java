// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Complete routing configuration, as published by operators. Immutable.
 *
 * @param version the version number that operators assign; increases with each publication
 * @param routes the routes
 * @param services the services
 * @param limits the limits of callers' requests
 * @param workspaces the workspaces with their keys; empty if requests need no key
 */
public record RoutingConfiguration(
    long version,
    List<Route> routes,
    List<ServiceDefinition> services,
    CallerLimits limits,
    Optional<List<WorkspaceKeys>> workspaces) {}
