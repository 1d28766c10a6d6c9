/** Tests of what the package keeps to itself. */
package org.oatlug.internal.gateway;
