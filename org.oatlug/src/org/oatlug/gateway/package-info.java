/**
 * Routed services: the second interface towards callers and upstreams.
 *
 * <p>A request is routed by host and path prefix, and an adapter says how requests, answers and
 * objects look on the wire of a deployment. The types here are the product's own view of them.
 */
package org.oatlug.gateway;
