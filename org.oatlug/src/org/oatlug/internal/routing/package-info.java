/** The pure decision which model, version and upstream answers a request. */
package org.oatlug.internal.routing;
