export * from './cluster/node.js';
export {PlacementQueries} from './cluster/placement_queries.js';
