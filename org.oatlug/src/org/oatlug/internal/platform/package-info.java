/** The HTTP adapter of the object API. */
package org.oatlug.internal.platform;
