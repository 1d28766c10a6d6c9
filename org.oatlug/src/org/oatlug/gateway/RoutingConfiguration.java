// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.util.List;
import java.util.Optional;

/**
 * The whole routing configuration, as operators publish it. Immutable.
 *
 * @param version the operators' version; grows
 * @param routes the routes
 * @param services the services
 * @param limits the bounds for callers
 * @param workspaces the workspaces with their keys; empty if requests need no key
 */
public record RoutingConfiguration(
    long version,
    List<Route> routes,
    List<ServiceDefinition> services,
    CallerLimits limits,
    Optional<List<WorkspaceKeys>> workspaces) {}
