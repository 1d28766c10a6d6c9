/** The client side of upstreams. */
package org.oatlug.internal.engine;
