/** The choice of the cascade stage from rated answers. */
package org.oatlug.internal.cascade;
