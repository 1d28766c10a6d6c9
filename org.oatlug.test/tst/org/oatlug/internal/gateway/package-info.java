/** Tests of package-private classes. */
package org.oatlug.internal.gateway;
