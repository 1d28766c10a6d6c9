/** Routed services: state tables, routing decisions and request handling in one instance. */
package org.oatlug.internal.gateway;
