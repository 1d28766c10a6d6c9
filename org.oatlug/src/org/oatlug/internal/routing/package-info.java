/** Side-effect-free selection of the model, version and upstream for a request. */
package org.oatlug.internal.routing;
