/** Routed services: tables, decisions and the way of a request through one instance. */
package org.oatlug.internal.gateway;
